//go:build review

package main

import (
	"net"
	"syscall"
	"time"
)

// stopping: machines are stopped while connections without a request, or with half of one, are open to
// their listeners for callers and for metrics.
func stopping(out *recorder, trouble bool) (int, error) {
	f, err := newFleet(out, 3, 2)
	if err != nil {
		return notRun, err
	}
	defer f.stop()
	if err := f.startAll(); err != nil {
		return notRun, err
	}
	o := newOperator(f)
	d := document(1, []object{route("r-z5k6pjs", "/puxa400/", "streaming", "huvo11a", 6000, 500)}, nil)
	delete(d, "tenants")
	o.call("PUT", "/-/config", text(d), 20*time.Second)
	done := make(chan struct{})
	defer close(done)
	if trouble {
		for _, m := range append(append([]*machine{}, f.controls...), f.entries...) {
			for _, port := range []int{f.ports.frontend, f.ports.telemetry} {
				go func() {
					for i := 0; ; i++ {
						c, err := net.Dial("tcp", m.at(port))
						if err == nil {
							defer c.Close()
							if i%2 == 1 {
								_, _ = c.Write([]byte("GET /-/read"))
							}
						}
						select {
						case <-done:
							return
						case <-time.After(200 * time.Millisecond):
						}
					}
				}()
			}
		}
	}
	time.Sleep(3 * time.Second)
	code := held
	for _, m := range append(append([]*machine{}, f.controls...), f.entries...) {
		began := out.now()
		m.signal(syscall.SIGTERM)
		for !m.ended() && out.now()-began < 15*time.Second {
			time.Sleep(10 * time.Millisecond)
		}
		out.printf("%s %s ended %t after %.3f s", m.role, m.ip, m.ended(), (out.now() - began).Seconds())
		if out.now()-began > 8*time.Second {
			code = broken
		}
		if m.role == "control" {
			if err := m.start(false); err != nil {
				return notRun, err
			}
			time.Sleep(2 * time.Second)
		}
	}
	return code, nil
}
