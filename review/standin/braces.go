//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// braces: a configuration with one brace too many at its end is sent; it can't be read in full.
func braces(out *recorder, trouble bool) (int, error) {
	f, err := newFleet(out, 3, 1)
	if err != nil {
		return notRun, err
	}
	defer f.stop()
	if err := f.startAll(); err != nil {
		return notRun, err
	}
	o := newOperator(f)
	d := func(version int) string {
		return text(document(version, []object{route("r-z5k6pjs", "/puxa400/", "streaming", "huvo11a", 6000, 500)}, []object{}))
	}
	if status, _ := o.call("PUT", "/-/config", d(1), 20*time.Second); status != 200 {
		return notRun, fmt.Errorf("the first configuration is answered %d", status)
	}
	second := d(2)
	if trouble {
		second += "}"
	}
	status, _ := o.call("PUT", "/-/config", second, 10*time.Second)
	got, body := o.call("GET", "/-/config", "", 10*time.Second)
	out.printf("read back: %d, %d bytes, valid JSON %t", got, len(body), json.Valid([]byte(body)))
	if status/100 == 2 && !json.Valid([]byte(second)) {
		out.printf("BROKEN: a configuration that can't be read in full is acknowledged with %d", status)
		return broken, nil
	}
	return held, nil
}
