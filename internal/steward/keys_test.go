package steward

import (
	"reflect"
	"strings"
	"testing"
)

// Guards against two fields of a message under one key: the codec drops both without an error.
func TestKeysOfMessagesAreUnique(t *testing.T) {
	for _, message := range []any{
		WatchRequest{}, WatchAnswer{}, EntryView{}, Load{}, RosterView{}, QuarantineView{}, PartView{}, Report{}, PeerView{}, RelayView{},
		submission{}, submitted{}, command{},
	} {
		kind, fields := reflect.TypeOf(message), make(map[string]string)
		for i := range kind.NumField() {
			key, _, _ := strings.Cut(kind.Field(i).Tag.Get("cbor"), ",")
			if key == "" || key == "-" {
				continue
			}
			if other, used := fields[key]; used {
				t.Errorf("%s: %s and %s have key %s", kind, other, kind.Field(i).Name, key)
			}
			fields[key] = kind.Field(i).Name
		}
	}
}
