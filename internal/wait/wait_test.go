package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// A process is stopped during the delay before another attempt. For must return when
// the context ends, so that the stop isn't delayed, and return false, so that no
// further attempt is made.
func TestForEndsWithContext(t *testing.T) {
	cases := []struct {
		name          string
		pause, cancel time.Duration
		want          bool
		took          time.Duration
	}{
		{"undisturbed", time.Second, time.Hour, true, time.Second},
		{"context ends first", time.Hour, time.Second, false, time.Second},
		{"context has ended", 0, 0, false, 0},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), c.cancel)
			defer cancel()
			began := time.Now()
			got := For(ctx, c.pause)
			if took := time.Since(began); got != c.want || took != c.took {
				t.Errorf("%s: %v after %s, want %v after %s", c.name, got, took, c.want, c.took)
			}
		})
	}
}
