//go:build review

package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// wall: a configuration makes a tenant isolated. From then on its requests and those of other tenants
// may use no KV cache of each other. Without the trouble the configuration changes and isolates nobody.
func wall(out *recorder, trouble bool) (int, error) {
	f, err := newFleet(out, 3, 2)
	if err != nil {
		return notRun, err
	}
	defer f.stop()
	if err := f.startAll(); err != nil {
		return notRun, err
	}
	var mu sync.Mutex
	var runs []run
	for i := range 2 {
		r, err := newRunner(f, fmt.Sprintf("i-%d", i), "huvo11a", zones[i], 12, true)
		if err != nil {
			return notRun, err
		}
		defer r.close()
		r.onRun = func(done run) {
			mu.Lock()
			defer mu.Unlock()
			runs = append(runs, done)
			out.printf("runner %s runs %s of tenant %s, salt %s, found %v", done.runner, done.request, done.tenant, done.salt, done.reused)
		}
	}
	o, c := newOperator(f), newClient(f)
	configure := func(version int, isolated bool) error {
		d := document(version, []object{route("r-z5k6pjs", "/puxa400/", "streaming", "huvo11a", 6000, 500)}, []object{
			{"name": "alder", "api_keys": []string{"key-of-alder"}, "isolated": isolated},
			{"name": "birch", "api_keys": []string{"key-of-birch"}},
		})
		if status, _ := o.call("PUT", "/-/config", text(d), 20*time.Second); status != 200 {
			return fmt.Errorf("configuration %d is answered %d", version, status)
		}
		return nil
	}
	if err := configure(1, false); err != nil {
		return notRun, err
	}
	// A prompt of each tenant at each entry, until all are served.
	ask := func(key, own string) error {
		for _, m := range f.entries {
			served := false
			for end := time.Now().Add(15 * time.Second); !served && time.Now().Before(end); {
				served = c.prompt(m, newID(), key, "5c1e07a2:800,"+own+":60").status == 200
				if !served {
					time.Sleep(200 * time.Millisecond)
				}
			}
			if !served {
				return errors.New("no prompt is served")
			}
		}
		return nil
	}
	if err := ask("key-of-alder", "a1"); err != nil {
		return notRun, err
	}
	if err := configure(2, trouble); err != nil {
		return notRun, err
	}
	acknowledged := out.now()
	time.Sleep(configApply + contact)
	for i := range 5 {
		if err := ask("key-of-birch", fmt.Sprintf("b%d", i)); err != nil {
			return notRun, err
		}
		if err := ask("key-of-alder", fmt.Sprintf("c%d", i)); err != nil {
			return notRun, err
		}
	}
	mu.Lock()
	defer mu.Unlock()
	breaks := 0
	for _, done := range runs {
		// No tenant is isolated before, or without the trouble.
		if done.at < acknowledged+configApply || !trouble {
			continue
		}
		for id, p := range done.reused {
			if p.tenant != done.tenant {
				breaks++
				out.printf("BROKEN: request %s of tenant %s uses part %s that request %s of tenant %s made; alder is isolated", done.request, done.tenant, id, p.request, p.tenant)
			}
		}
	}
	out.printf("%d uses of KV cache of the other tenant after the bound", breaks)
	if breaks > 0 {
		return broken, nil
	}
	return held, nil
}
