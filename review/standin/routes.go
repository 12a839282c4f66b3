//go:build review

package main

import (
	"fmt"
	"time"
)

const (
	// routesStep is the largest growth of a configuration at the site, routesSteps how often it comes.
	routesStep  = 350
	routesSteps = 12
	// routeTime is the time for each route that an acknowledgement may take longer.
	routeTime = 3 * time.Millisecond
)

// routes: the configuration grows by many routes, twelve times. Without the trouble it changes as often
// and doesn't grow.
func routes(out *recorder, trouble bool) (int, error) {
	f, err := newFleet(out, 3, 2)
	if err != nil {
		return notRun, err
	}
	defer f.stop()
	if err := f.startAll(); err != nil {
		return notRun, err
	}
	o := newOperator(f)
	send := func(version, count int, within time.Duration) bool {
		list := []object{route("r-z5k6pjs", "/puxa400/", "streaming", "huvo11a", 6000, 500)}
		for i := range count {
			list = append(list, route(fmt.Sprintf("r-%07x", i), fmt.Sprintf("/cufi%d/fi%d/", i, i), "safe", "kafi81c", 1000, 150))
		}
		d := text(document(version, list, []object{{"name": "jeye930", "api_keys": []string{"nu6wsjnbanfqasnmgkcu"}, "priority": 1}}))
		began := out.now()
		status, _ := o.call("PUT", "/-/config", d, within)
		out.printf("configuration %d with %d routes, %d bytes: status %d after %.3f s", version, count+1, len(d), status, (out.now() - began).Seconds())
		return status == 200
	}
	if !send(1, 0, 20*time.Second) {
		return notRun, fmt.Errorf("the first configuration has no acknowledgement")
	}
	time.Sleep(contact)
	code := held
	for step := 1; step <= routesSteps && code == held; step++ {
		count := 0
		if trouble {
			count = step * routesStep
		}
		// The core is stable all the while. The operator goes on for longer than the bound.
		if within := ackTimeout + time.Duration(count)*routeTime; !send(1+step, count, within+10*time.Second) {
			out.printf("BROKEN: a valid configuration has no acknowledgement after %v in steady state", within+10*time.Second)
			code = broken
		}
		time.Sleep(time.Second)
	}
	// What the operator sees of it: a smaller one is acknowledged at once.
	if code == broken && !send(2+routesSteps, 0, 10*time.Second) {
		return notRun, fmt.Errorf("a small configuration has no acknowledgement either")
	}
	return code, nil
}
