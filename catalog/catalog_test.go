package catalog

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"
)

func document(version Version, source string) *Document {
	return &Document{
		Version: version,
		Routes: []Route{
			{Name: "plans", Host: "desk.example", Prefix: "/plans/", Kind: Stream, Timeout: time.Second, Targets: []Target{{"llm", 1}}},
			{Name: "long", Host: "desk.example", Prefix: "/plans/long/", Kind: Stream, Resumable: true, Timeout: time.Second, Targets: []Target{{"llm", 1}}},
			{Name: "bids", Host: "hall.example", Prefix: "/", Kind: Unsafe, Timeout: time.Second, Targets: []Target{{"app", 9}, {"llm", 1}}},
		},
		Services: []Service{{Name: "llm"}, {Name: "app"}},
		Teams:    []Team{{Name: "growers", Keys: []string{"k1", "k2"}}, {Name: "bank", Keys: []string{"k3"}}},
		Keyed:    true,
		Source:   []byte(source),
	}
}

func TestRouteHasLongestPrefixOfHost(t *testing.T) {
	x := NewIndex(document(1, "a"))
	cases := []struct{ host, path, want string }{
		{"desk.example", "/plans/7", "plans"},
		{"DESK.example", "/plans/7", "plans"},
		{"desk.example", "/plans/long/7", "long"},
		{"desk.example", "/plans/longer", "plans"},
		{"desk.example", "/plans", ""},
		{"desk.example", "/other/", ""},
		{"hall.example", "/", "bids"},
		{"hall.example", "/any/where", "bids"},
		{"else.example", "/plans/7", ""},
		{"hall.example", "", ""},
	}
	for _, c := range cases {
		got := ""
		if r := x.Route(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s: route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

func TestTeamByKey(t *testing.T) {
	x := NewIndex(document(1, "a"))
	if team := x.Team("k2"); team == nil || team.Name != "growers" {
		t.Errorf("team of k2 is %v, want growers", team)
	}
	if team := x.Team("k9"); team != nil {
		t.Errorf("an unknown key has the team %v", team.Name)
	}
}

// Two operators send documents at the same time over two control hosts, and send them again
// after lost answers. In any order, the document with the highest version must be in force,
// and one version must never have two contents.
func TestCompare(t *testing.T) {
	cases := []struct {
		name             string
		current, offered *Document
		want             Verdict
	}{
		{"the first document", nil, document(3, "a"), Accepted},
		{"a higher version", document(3, "a"), document(5, "b"), Accepted},
		{"the same document again", document(3, "a"), document(3, "a"), Repeated},
		{"another document with the same version", document(3, "a"), document(3, "b"), Conflicting},
		{"an older document that arrives late", document(5, "b"), document(3, "a"), Outdated},
	}
	for _, c := range cases {
		if got := Compare(c.current, c.offered); got != c.want {
			t.Errorf("%s: verdict %d, want %d", c.name, got, c.want)
		}
	}
}

func TestValidateReportsFieldAndReason(t *testing.T) {
	if err := document(1, "a").Validate(); err != nil {
		t.Fatalf("error for a valid document: %v", err)
	}
	cases := []struct {
		name, field string
		modify      func(*Document)
	}{
		{"no version", "version", func(d *Document) { d.Version = 0 }},
		{"unknown service", "routes[0].service", func(d *Document) { d.Routes[0].Targets[0].Service = "none" }},
		{"no service", "routes[0].service", func(d *Document) { d.Routes[0].Targets = nil }},
		{"same host and prefix", "routes[1]", func(d *Document) { d.Routes[1].Prefix = "/plans/" }},
		{"same host in capitals and same prefix", "routes[1]", func(d *Document) {
			d.Routes[1].Prefix, d.Routes[1].Host = "/plans/", "DESK.example"
		}},
		{"weights of zero", "routes[2].weight", func(d *Document) { d.Routes[2].Targets = []Target{{"app", 0}, {"llm", 0}} }},
		{"a negative weight", "routes[2].weight", func(d *Document) { d.Routes[2].Targets[0].Weight = -1 }},
		{"weights whose sum overflows", "routes[2].weight", func(d *Document) {
			d.Routes[2].Targets = []Target{{"app", math.MaxInt}, {"llm", math.MaxInt}}
		}},
		{"no timeout", "routes[0].timeout", func(d *Document) { d.Routes[0].Timeout = 0 }},
		{"prefix without a final slash", "routes[0].prefix", func(d *Document) { d.Routes[0].Prefix = "/plans" }},
		{"no kind", "routes[0].kind", func(d *Document) { d.Routes[0].Kind = 0 }},
		{"shared key", "teams[1].keys", func(d *Document) { d.Teams[1].Keys = []string{"k1"} }},
		{"duplicate service", "services[1].name", func(d *Document) { d.Services[1].Name = "llm" }},
	}
	for _, c := range cases {
		d := document(1, "a")
		c.modify(d)
		var invalidError *InvalidError
		if err := d.Validate(); !errors.As(err, &invalidError) || invalidError.Field != c.field {
			t.Errorf("%s: error %v, want field %s", c.name, err, c.field)
		} else if strings.TrimSpace(invalidError.Reason) == "" {
			t.Errorf("%s: the error has no reason", c.name)
		}
	}
}

func TestOnlySafeAndResumableRoutesAreRepeatable(t *testing.T) {
	cases := []struct {
		route Route
		want  bool
	}{
		{Route{Kind: Safe}, true},
		{Route{Kind: Unsafe}, false},
		{Route{Kind: Stream}, false},
		{Route{Kind: Stream, Resumable: true}, true},
		{Route{Kind: Unsafe, Resumable: true}, false},
	}
	for _, c := range cases {
		if got := c.route.Repeatable(); got != c.want {
			t.Errorf("kind %v, resumable=%t: repeatable is %t", c.route.Kind, c.route.Resumable, got)
		}
	}
}
