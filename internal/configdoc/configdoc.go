// Package configdoc reads and writes the YAML form of a config.Document.
package configdoc

import (
	"errors"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/internal/settings"
)

// Parse decodes a YAML document strictly, fills in defaults and checks it.
// file is the document's name in errors. The error is a settings.Problems for faults in
// the text and a config.Problems for faults in the configuration.
func Parse(file string, data []byte) (config.Document, error) {
	var doc config.Document
	if err := settings.Parse(file, data, &doc); err != nil {
		if located := scalarProblems(file, data); len(located) > 0 {
			return config.Document{}, located
		}
		return config.Document{}, explainRefusedKeys(err)
	}
	doc.Normalize()
	if err := doc.Validate(); err != nil {
		return config.Document{}, err
	}
	return doc, nil
}

// Format encodes a document as YAML.
func Format(doc config.Document) ([]byte, error) {
	data, err := yaml.Marshal(doc)
	if err != nil {
		return nil, eris.Wrap(err, "configdoc: encode")
	}
	return data, nil
}

// refusedKeys maps keys that operators may expect, but that a document can't contain,
// to a description of what to write instead.
var refusedKeys = map[string]string{}

const (
	acceptedForWeights   = "targets only: first_token and deadline of a class, share.floor and share.ceiling of a team"
	acceptedForAddresses = "no host or address: upstreams announce themselves, and a process learns its own address from its settings"
)

func init() {
	for _, key := range []string{"weight", "weights", "priority", "priorities", "queue", "replicas"} {
		refusedKeys[key] = acceptedForWeights
	}
	for _, key := range []string{
		"host", "hosts", "hostname", "address", "addresses", "addr", "ip", "ips", "port", "ports",
		"url", "urls", "endpoint", "endpoints", "upstream", "upstreams", "server", "servers", "runner", "runners",
	} {
		refusedKeys[key] = acceptedForAddresses
	}
}

// explainRefusedKeys replaces the reason and the accepted values of problems whose
// unknown key is in refusedKeys.
func explainRefusedKeys(err error) error {
	var problems settings.Problems
	if !errors.As(err, &problems) {
		return err
	}
	for _, problem := range problems {
		key := problem.Key[strings.LastIndexByte(problem.Key, '.')+1:]
		if accepted, found := refusedKeys[key]; found {
			problem.Reason = "operators don't set " + key
			problem.Accepted = accepted
		}
	}
	return problems
}
