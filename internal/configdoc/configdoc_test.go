package configdoc

import (
	"reflect"
	"strings"
	"testing"
)

const validDocument = `
ledger_shards: 4
classes:
  - name: clock-questions
    kind: model
    first_token: {within: 380ms, percentile: 95}
    deadline: 30s
    repeatable: true
    audit: full
  - name: clock-bids
    kind: service
    first_token: {within: 200ms}
    deadline: 5s
    audit: full
teams:
  - name: growers
    token_digests: [9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08]
    classes: [clock-questions, clock-bids]
    share: {floor: 5%, ceiling: 50%}
models:
  - name: appraiser-llm
    versions: [{version: v1, adapters: [lots]}]
    max_loading: 3
services:
  - name: clock-app
    class: clock-bids
    paths: [{method: GET, prefix: /lots, repeatable: true}]
`

func TestParseAndFormatAgree(t *testing.T) {
	doc, err := Parse("c.yaml", []byte(validDocument))
	if err != nil {
		t.Fatal(err)
	}
	if doc.Teams[0].Share.Guaranteed.Fraction() != 0.05 || doc.Models[0].BlockTokens != 1000 {
		t.Fatalf("decoded %+v", doc)
	}
	text, err := Format(doc)
	if err != nil {
		t.Fatal(err)
	}
	again, err := Parse("again.yaml", text)
	if err != nil || !reflect.DeepEqual(doc, again) {
		t.Fatalf("%v: %+v became %+v through\n%s", err, doc, again, text)
	}
}

func TestParseRefuses(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"weight", "repeatable: true\n    audit", "weight: 3\n    audit", "c.yaml:8: classes[0].weight: operators don't set weight; accepted: targets only"},
		{"address", "class: clock-bids\n    paths", "class: clock-bids\n    address: 10.0.0.1:80\n    paths", "services[0].address: operators don't set address; accepted: no host or address"},
		{"host at the top", "ledger_shards: 4", "hosts: [a]", "c.yaml:2: hosts: operators don't set hosts"},
		{"unknown key", "max_loading", "max_load", "models[0].max_load: unknown field \"max_load\"; accepted: one of name, versions"},
		{"no unit", "5s", "5", "c.yaml:13: classes[1].deadline: \"5\" is not a duration"},
		{"no percent", "5%, ceiling", "0.05, ceiling", "c.yaml:19: teams[0].share.floor: \"0.05\" is not a share; write a percentage"},
		{"token instead of digest", "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08", "secret", "c.yaml:17: teams[0].token_digests[0]: not the 64 hexadecimal digits"},
		{"class missing", "[clock-questions, clock-bids]", "[nothing]", "teams[growers].classes: names the class \"nothing\""},
		{"service of a model class", "class: clock-bids", "class: clock-questions", "of kind \"model\"; a service needs"},
		{"ceiling below floor", "ceiling: 50%", "ceiling: 1%", "must not be below share.floor"},
		{"kind", "kind: service", "kind: other", "must be \"model\" or \"service\""},
		{"deadline", "deadline: 30s", "deadline: 30ms", "must not be shorter than first_token.within"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(validDocument, c.old, c.new, 1)
			if text == validDocument {
				t.Fatalf("%q is not in the document", c.old)
			}
			_, err := Parse("c.yaml", []byte(text))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("error %v lacks %q", err, c.want)
			}
		})
	}
}
