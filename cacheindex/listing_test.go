package cacheindex

import (
	"fmt"
	"testing"
)

// fullBook leads 34 sources of 500 parts each.
func fullBook() *Index {
	w := NewIndex(true)
	w.StartTerm(1)
	for s := range 34 {
		address := fmt.Sprintf("10.1.0.%d:8080", s)
		w.Write(Record{Address: address, Cleared: true, Incarnation: 7})
		for p := range 500 {
			w.Write(Record{Address: address, Change: Change{Key: Key{Salt: "m.1", Part: fmt.Sprintf("%08x", s*500+p)}, Tokens: 12000}, Next: uint64(p + 1)})
		}
	}
	return w
}

// After a restart of all hosts callers get nothing from stores until their entry has
// been told all shelves. Seventy entries ask one host, which makes a listing of each
// shelf for each of them, while parts become whole and are retired all the time. The
// listings of the first few are told to the others, with what came after them, and
// each holds in the end what the host holds.
func TestReadersThatLackAllShareTheListings(t *testing.T) {
	w := fullBook()
	step := uint64(500)
	made := make(map[*string]bool)
	for reader := range 70 {
		r := NewIndex(false)
		for asked := 0; ; asked++ {
			step++
			for s := range 3 {
				address := fmt.Sprintf("10.1.0.%d:8080", (reader+s*11)%34)
				key := Key{Salt: "m.1", Part: fmt.Sprintf("new-%d", step)}
				w.Write(Record{Address: address, Change: Change{Key: key, Tokens: 9000}, Next: step})
				w.Write(Record{Address: address, Change: Change{Key: Key{Salt: "m.1", Part: fmt.Sprintf("new-%d", step-40)}, Tokens: -9000}, Next: step})
			}
			q := r.Ask()
			u := w.Answer(&q)
			for i := range u.Batches {
				if u.Batches[i].Cleared && len(u.Batches[i].Parts) > 0 {
					made[&u.Batches[i].Parts[0]] = true
				}
			}
			if r.Apply(&u) {
				break
			}
			if asked > 30 {
				t.Fatalf("reader %d has asked %d times", reader, asked)
			}
		}
		for _, address := range w.Addresses() {
			held, want := r.Inventory(address), w.Inventory(address)
			if held.Len() != want.Len() || held.Tokens() != want.Tokens() || held.retired != want.retired {
				t.Fatalf("reader %d holds %d parts, %d retired, of %s; the host %d and %d", reader, held.Len(), held.retired, address, want.Len(), want.retired)
			}
		}
	}
	if most := 34 * 10; len(made) > most {
		t.Errorf("%d listings were made for 70 readers of 34 shelves", len(made))
	}
	t.Logf("%d listings were made", len(made))
}

// BenchmarkListing is the first page of the shelves for a reader that lacks all, while
// parts become whole: 0.54 ms and 981 KB while listings were made for each reader,
// 0.012 ms and 14 KB with shared ones.
func BenchmarkListing(b *testing.B) {
	w := fullBook()
	step := uint64(500)
	b.ReportAllocs()
	for b.Loop() {
		step++
		w.Write(Record{Address: "10.1.0.0:8080", Change: Change{Key: Key{Salt: "m.1", Part: fmt.Sprint(step)}, Tokens: 9000}, Next: step})
		q := Query{Listed: true}
		w.Answer(&q)
	}
}

// Three thousand parts of former weights are retired when another host comes to lead,
// and every entry asks by what it holds. Those parts are told at each question; counted
// as a page, they would end it before the sources that come after them, each time, and
// callers would get nothing from stores until the parts are freed.
func TestRetiredPartsDoNotEndAPage(t *testing.T) {
	w := NewIndex(true)
	w.StartTerm(1)
	for _, address := range []string{"a", "b"} {
		w.Write(Record{Address: address, Cleared: true, Incarnation: 7})
		for p := range 3000 {
			w.Write(Record{Address: address, Change: Change{Key: Key{Salt: "m.1", Part: fmt.Sprint(p)}, Tokens: 10}, Next: uint64(p + 1)})
		}
	}
	r := NewIndex(false)
	ask := func(most int) {
		t.Helper()
		for range most {
			q := r.Ask()
			if u := w.Answer(&q); r.Apply(&u) {
				return
			}
		}
		t.Fatalf("not told all in %d questions", most)
	}
	ask(4)
	for p := range 3000 {
		w.Write(Record{Address: "a", Change: Change{Key: Key{Salt: "m.1", Part: fmt.Sprint(p)}, Tokens: -10}, Next: 3000})
	}
	w.StartTerm(2)
	w.Write(Record{Address: "b", Change: Change{Key: Key{Salt: "m.2", Part: "later"}, Tokens: 10}, Next: 3001})
	r.at = Position{}
	ask(2)
	if r.Inventory("a").retired != 3000 || r.ReadableTokens("b", Key{Salt: "m.2", Part: "later"}) != 10 {
		t.Errorf("holds %d retired parts, and %d tokens of the later one", r.Inventory("a").retired, r.ReadableTokens("b", Key{Salt: "m.2", Part: "later"}))
	}
}
