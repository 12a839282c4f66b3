//go:build review

package main

import (
	"syscall"
	"time"
)

// forming: the machine of the first seed stands still from half a second after the first start on.
func forming(out *recorder, trouble bool) (int, error) {
	f, err := newFleet(out, 3, 2)
	if err != nil {
		return notRun, err
	}
	defer f.stop()
	if err := f.startAll(); err != nil {
		return notRun, err
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		f.controls[0].signal(syscall.SIGSTOP)
		out.printf("control %s stands still", f.controls[0].ip)
	}
	o := newOperator(f)
	d := document(1, []object{route("r-z5k6pjs", "/puxa400/", "streaming", "huvo11a", 6000, 500)}, nil)
	delete(d, "tenants")
	if status, _ := o.call("PUT", "/-/config", text(d), 60*time.Second); status != 200 {
		out.printf("BROKEN: the first configuration has no acknowledgement after 60 s with one machine of three lost")
		return broken, nil
	}
	return held, nil
}
