package replicate

import (
	"fmt"
	"testing"
	"time"
)

// entry is an entry of a fleet in the tests: it sees the others' reads as they were last reported.
type entry struct {
	reads   Reads
	ongoing *Ongoing
}

// report gives each entry the reads of all others, by their names on the wire.
func report(entries []*entry, now time.Time) {
	for _, to := range entries {
		var reads []Read
		for _, from := range entries {
			if from == to {
				continue
			}
			for _, own := range from.reads.Own(now) {
				read, ok := ParseName(own.Name())
				if !ok {
					panic("unreadable name " + own.Name())
				}
				reads = append(reads, read)
			}
		}
		to.reads.SetOthers(reads)
	}
}

// ask sends a prompt with a part from an entry and returns the runner: the one that is reading the
// part, or else one that the entry would have chosen by itself.
func (e *entry) ask(part PartHash, otherwise string, now time.Time) (runner string, reads bool) {
	if reader := e.reads.Reader(part, now); reader != "" {
		return reader, false
	}
	e.ongoing = e.reads.Begin(Read{Part: part, Runner: otherwise, Tokens: 12800}, now)
	return otherwise, true
}

func fleet(n int) []*entry {
	list := make([]*entry, n)
	for i := range list {
		list[i] = &entry{}
	}
	return list
}

// Guards against a crowd that asks for one part at many entries, each of which has it read by a
// runner of its own.
func TestOneOfManyReadsAPart(t *testing.T) {
	const n, reportEvery = 40, 50 * time.Millisecond
	part, entries, count := HashPart("m.1", "bulletin"), fleet(n), 0
	for i, e := range entries {
		now := after(time.Duration(i) * 10 * time.Millisecond)
		if i > 0 && i%5 == 0 {
			report(entries, now)
		}
		if _, reads := e.ask(part, fmt.Sprintf("r%d", i), now); reads {
			count++
		}
	}
	if most := int(reportEvery / (10 * time.Millisecond)); count > most {
		t.Errorf("%d of %d requests had the part read, want %d at the most, those of one report's time", count, n, most)
	}
}

// Guards against requests that wait for a part at a runner that is lost: once its reader fails,
// one of the others reads it, and the rest go there.
func TestPartIsReadAgainOnceAfterItsReaderFails(t *testing.T) {
	part, entries := HashPart("m.1", "bulletin"), fleet(10)
	entries[0].ask(part, "lost", start)
	report(entries, start)
	if runner, reads := entries[1].ask(part, "r1", after(time.Millisecond)); reads || runner != "lost" {
		t.Fatalf("sent to %s, reads %t, while another runner reads the part", runner, reads)
	}
	entries[0].ongoing.Fail()
	report(entries, after(20*time.Millisecond))
	readers := make(map[string]bool)
	for i, e := range entries {
		runner, _ := e.ask(part, fmt.Sprintf("r%d", i), after(30*time.Millisecond))
		readers[runner] = true
		report(entries, after(30*time.Millisecond))
	}
	if len(readers) != 1 || readers["lost"] {
		t.Errorf("after the loss the part is read by %v, want one runner", readers)
	}
}

// Guards against an entry that dies or stalls with a read under way, to which others would go for
// good, and against reads that count as over before the stores are known to hold the part.
func TestReadsEnd(t *testing.T) {
	var r Reads
	part := HashPart("m.1", "bulletin")
	ongoing := r.Begin(Read{Part: part, Runner: "r1", Tokens: 9000}, start)
	if r.Reader(part, after(ReadTTL-1)) != "r1" || r.Reader(part, after(ReadTTL)) != "" {
		t.Error("a read without an end doesn't end with its TTL")
	}
	ongoing.Done(after(time.Second))
	if r.Reader(part, after(time.Second)) != "r1" || r.Reader(part, after(time.Second+savedWithin)) != "" {
		t.Error("a part that has been read doesn't count until it is saved, or counts for longer")
	}
	if len(r.Own(after(time.Minute))) != 0 {
		t.Error("reads that have ended are reported")
	}
}

// Guards against names of upstreams and stores that are taken for reads, and the reverse, and against
// parts of one team or version that are taken for those of another.
func TestNamesOfReads(t *testing.T) {
	read := Read{Part: HashPart("m.1", "a"), Runner: "i-123"}
	if got, ok := ParseName(read.Name()); !ok || got != read {
		t.Errorf("%q is read as %+v", read.Name(), got)
	}
	for _, name := range []string{"", "i-123", "10.0.0.1:80", "+", "+@", "+AAAA@r", "+AAAAAAAAAAA@", "+!!!!!!!!!!!@r"} {
		if _, ok := ParseName(name); ok {
			t.Errorf("%q is taken for a read", name)
		}
	}
	if HashPart("m.1/team", "a") == HashPart("m.1", "a") {
		t.Error("a part has the same hash under two salts")
	}
}

// Guards against a load report without bound in a crowd.
func TestReadsAreBounded(t *testing.T) {
	var r Reads
	var others []Read
	for i := range 3 * maxOthers {
		read := Read{Part: PartHash(i), Runner: "r", Tokens: 5000}
		r.Begin(read, start)
		others = append(others, read)
	}
	r.SetOthers(others)
	if len(r.Own(start)) != MaxReads || len(r.others) != maxOthers {
		t.Errorf("%d reads are reported and %d of others kept", len(r.Own(start)), len(r.others))
	}
}
