package resumption

import (
	"fmt"
	"testing"
	"time"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// Guards against a stream that goes on at the only version that an entry knows, while another
// entry has begun streams at one that it doesn't know yet.
func TestOnlyVersionHoldsUntilAnotherIsInUse(t *testing.T) {
	v := NewVersions(time.Time{})
	v.Add("llm", "v1", time.Time{}, at(0))
	only := func(asOf, now int) string {
		software, known := v.Only("llm", time.Time{}, at(asOf), at(now))
		return fmt.Sprint(software, " ", known)
	}
	if got := only(1000, 1999); got != "v1 true" {
		t.Errorf("one version: %s", got)
	}
	if got := only(1000, 2000); got != " false" {
		t.Errorf("a list that is SettleTime old: %s", got)
	}
	v.Add("llm", "v2", at(5000), at(5200))
	for now, usable := range map[int]bool{5200: false, 6199: false, 6200: true} {
		if v.Usable("llm", "v2", at(now)) != usable || !v.Usable("llm", "v1", at(now)) {
			t.Errorf("at %d ms: v2 usable %v, v1 %v", now, !usable, v.Usable("llm", "v1", at(now)))
		}
	}
	for now, want := range map[int]string{5300: "v1 true", 5999: "v1 true"} {
		if got := only(now, now); got != want {
			t.Errorf("at %d ms: %s", now, got)
		}
	}
	if _, known := v.Only("llm", time.Time{}, at(6000), at(6000)); known {
		t.Error("known although v2 may be in use")
	}
	if _, known := v.Only("llm", at(5100), at(5300), at(5300)); known {
		t.Error("known at a host that did not lead when v2 was listed")
	}
	v.Remove("llm", "v1", at(10000))
	if _, known := v.Only("llm", time.Time{}, at(39999), at(39999)); known {
		t.Error("known while callers may resume streams of v1")
	}
	if got := only(40000, 40000); got != "v2 true" {
		t.Errorf("after v1 has gone: %s", got)
	}
}

// Guards against an entry that has just started and takes the version that it finds for the only
// one that there was.
func TestOnlyVersionIsNotKnownAtStart(t *testing.T) {
	v := NewVersions(at(0))
	v.Add("llm", "v1", time.Time{}, at(0))
	if _, known := v.Only("llm", time.Time{}, at(29900), at(29999)); known {
		t.Error("known before minLife")
	}
	if software, known := v.Only("llm", time.Time{}, at(30000), at(30000)); !known || software != "v1" {
		t.Errorf("after minLife: %q, %v", software, known)
	}
	if _, known := v.Only("other", time.Time{}, at(100), at(100)); !known {
		t.Error("a service whose upstreams announce no version is restricted")
	}
	host := NewVersions(time.Time{})
	host.Add("llm", "v2", time.Time{}, at(0))
	host.Departed("llm", "v1", at(0))
	if _, known := host.Only("llm", time.Time{}, at(100), at(100)); known {
		t.Error("known although an upstream of v1 may have left just now")
	}
}

// Guards against a service without upstreams for SettleTime after all of them were replaced.
func TestNewVersionIsUsedAtOnceIfNoOtherIsLeft(t *testing.T) {
	v := NewVersions(time.Time{})
	v.Add("llm", "v1", time.Time{}, at(0))
	v.Add("llm", "v2", at(5000), at(5000))
	v.Add("llm", "v3", at(5000), at(5000))
	v.Remove("llm", "v1", at(5100))
	if !v.Usable("llm", "v2", at(5100)) || !v.Usable("llm", "v3", at(5100)) {
		t.Error("no version is usable")
	}
	// One that comes back while it still counts is known to all entries.
	v.Add("llm", "v1", at(7000), at(7000))
	if !v.Usable("llm", "v1", at(7000)) {
		t.Error("a version that is back is not usable")
	}
}

// Guards against records that grow without bound, that a late record of an earlier send replaces,
// or that another team's caller finds.
func TestRecordsAreBoundedAndOrdered(t *testing.T) {
	r := NewRecords()
	key := NewKey("growers", "id-1")
	r.Put(Record{Key: key, Origin: Origin{Service: "llm", Software: "v2"}, Send: 2}, at(0))
	r.Put(Record{Key: key, Origin: Origin{Service: "llm", Software: "v1"}, Send: 1}, at(1))
	if record, found := r.Get(key, at(29999)); !found || record.Origin.Software != "v2" {
		t.Errorf("found %+v, %v", record, found)
	}
	if _, found := r.Get(key, at(59999)); !found {
		t.Error("lost within two generations")
	}
	if _, found := r.Get(key, at(89999)); found {
		t.Error("still there after two generations")
	}
	for _, other := range []Key{NewKey("bank", "id-1"), NewKey("", "growersid-1"), NewKey("growersid", "-1")} {
		if other == key {
			t.Error("two streams with one key")
		}
	}
	for i := range 3 * maxRecords {
		r.Put(Record{Key: NewKey("", fmt.Sprint(i)), Origin: Origin{Service: "llm"}}, at(70000))
	}
	if n := len(r.OfService("llm")); n > 2*maxRecords {
		t.Errorf("%d records", n)
	}
}

// Guards against records that are not found because the entries list the hosts in another order,
// or know one more or less.
func TestHoldersAreFoundByAllEntries(t *testing.T) {
	hosts := []string{"a", "b", "c", "d", "e"}
	held := make(map[string]int)
	for i := range 3000 {
		key := NewKey("", fmt.Sprint(i))
		holders := Holders(key, hosts)
		if fmt.Sprint(holders) != fmt.Sprint(Holders(key, []string{"e", "c", "a", "d", "b"})) {
			t.Fatalf("holders depend on the order: %v", holders)
		}
		common := 0
		for _, host := range Holders(key, append(hosts[:4:4], "f")) {
			for _, other := range holders {
				if host == other {
					common++
				}
			}
		}
		if len(holders) != Copies || common < Copies-2 {
			t.Fatalf("%v, %d of them after one host was replaced", holders, common)
		}
		for _, host := range holders {
			held[host]++
		}
	}
	for host, n := range held {
		if n < 1600 || n > 2000 {
			t.Errorf("%s holds %d of 9000 records", host, n)
		}
	}
	if n := len(Holders(NewKey("", "x"), []string{"a"})); n != 1 {
		t.Errorf("%d holders of one host", n)
	}
}

// Guards against a version that is forgotten while callers who may wait for long still hold on to
// the streams that it began.
func TestVersionsCountForAsLongAsCallersHoldOn(t *testing.T) {
	v := NewVersions(time.Time{})
	v.SetCallersWait(45 * time.Second)
	v.SetCallersWait(5 * time.Second)
	v.Add("llm", "v1", time.Time{}, at(0))
	v.Add("llm", "v2", at(1000), at(1000))
	v.Remove("llm", "v1", at(5000))
	for _, want := range []struct {
		seconds int
		known   bool
	}{{40, false}, {94, false}, {95, true}} {
		now := at(1000 * want.seconds)
		if _, known := v.Only("llm", time.Time{}, now, now); known != want.known {
			t.Errorf("%d s: known %v", want.seconds, known)
		}
	}
}
