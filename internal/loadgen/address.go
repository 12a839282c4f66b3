package loadgen

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/lovagereach/lovagereach/internal/adapter/callers"
)

// Bounds on address answers.
const (
	maxAddressBytes = 64 << 10
	// minCacheTime is the minimum validity of a cached answer. It prevents a
	// request storm after answers that must not be cached.
	minCacheTime = 100 * time.Millisecond
	// addressTimeout bounds an address request.
	addressTimeout = 2 * time.Second
)

// resolver selects the entries for one team's callers. It caches an answer to an
// address request as long as the answer allows, and queries another entry if one
// fails.
type resolver struct {
	http  *http.Client
	token string
	seeds []string

	mu         sync.Mutex
	current    []string
	expires    time.Time
	refreshing bool
}

type addressAnswer struct {
	Address    string   `json:"address"`
	Alternates []string `json:"alternates"`
	KeepMS     int64    `json:"keep_ms"`
}

func newResolver(client *http.Client, token string, seeds []string) *resolver {
	return &resolver{http: client, token: token, seeds: seeds}
}

// pick returns the entry for attempt n of a request, counted from zero: first the
// address of the answer, then its alternates in turn.
func (b *resolver) pick(ctx context.Context, n int) string {
	b.refresh(ctx)
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.current
	if len(known) == 0 {
		known = b.seeds
	}
	return known[n%len(known)]
}

// refresh requests a new answer if the cached one has expired. One goroutine
// sends the request; the others continue with the expired answer.
func (b *resolver) refresh(ctx context.Context) {
	b.mu.Lock()
	due := !b.refreshing && time.Now().After(b.expires)
	if due {
		b.refreshing = true
	}
	candidates := slices.Concat(b.current, b.seeds)
	b.mu.Unlock()
	if !due {
		return
	}
	answer, ok := b.queryAny(ctx, candidates)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refreshing = false
	b.expires = time.Now().Add(minCacheTime)
	if !ok {
		return
	}
	b.current = append([]string{answer.Address}, answer.Alternates...)
	b.expires = time.Now().Add(max(minCacheTime, time.Duration(answer.KeepMS)*time.Millisecond))
}

// invalidate removes an entry that failed and expires the cached answer.
func (b *resolver) invalidate(entry string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current = slices.DeleteFunc(b.current, func(known string) bool { return known == entry })
	b.expires = time.Time{}
}

func (b *resolver) queryAny(ctx context.Context, candidates []string) (addressAnswer, bool) {
	for _, entry := range candidates {
		if answer, err := b.query(ctx, entry); err == nil && answer.Address != "" {
			return answer, true
		}
	}
	return addressAnswer{}, false
}

func (b *resolver) query(ctx context.Context, entry string) (addressAnswer, error) {
	var answer addressAnswer
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+callers.PathAddress, nil)
	if err != nil {
		return answer, err
	}
	req.Header.Set("Authorization", "Bearer "+b.token)
	resp, err := b.http.Do(req)
	if err != nil {
		return answer, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return answer, errStatus(resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxAddressBytes)).Decode(&answer)
	return answer, err
}
