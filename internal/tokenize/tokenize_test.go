package tokenize

import (
	"errors"
	"strings"
	"testing"
	"unicode/utf8"
)

func TestWordsCounts(t *testing.T) {
	cases := map[string]struct {
		text string
		want int
	}{
		"empty":               {"", 0},
		"only spaces":         {" \t\r\n\u00a0", 0},
		"words":               {"three plain words", 3},
		"punctuation":         {"lot 7, grade A!", 6},
		"identifier":          {"branch_code CHAR(4)", 5},
		"accents":             {"Zoë für Æ", 3},
		"broken utf-8 counts": {"a\xffb", 3},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			got, err := Words(nil, test.text, 100)
			if err != nil || len(got) != test.want {
				t.Fatalf("Words(%q) = %d tokens, %v; want %d", test.text, len(got), err, test.want)
			}
		})
	}
}

func TestWordsStopsAtLimit(t *testing.T) {
	got, err := Words(nil, strings.Repeat("x ", 1000), 10)
	if !errors.Is(err, ErrTooManyTokens) || len(got) != 10 {
		t.Fatalf("got %d tokens, %v", len(got), err)
	}
}

func TestTokenIsStable(t *testing.T) {
	// Engines and entries have to compute equal tokens, so the value must not change.
	if got := Token("rose"); got != 0x2a0ec103 {
		t.Fatalf("Token(rose) = %#x", got)
	}
}

func FuzzWords(f *testing.F) {
	f.Add("a b, c")
	f.Add("\xff\xfe")
	f.Fuzz(func(t *testing.T, text string) {
		got, err := Words(nil, text, 64)
		if len(got) > 64 || len(got) > utf8.RuneCountInString(text) {
			t.Fatalf("%d tokens from %d characters", len(got), utf8.RuneCountInString(text))
		}
		if err != nil && !errors.Is(err, ErrTooManyTokens) {
			t.Fatal(err)
		}
	})
}
