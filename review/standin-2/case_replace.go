//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["replace"] = replaceTwo }

// margin is what a successor has run beyond catch_up_s when the machine that it replaces gets SIGTERM.
const margin = 200 * time.Millisecond

// replaceTwo replaces two of the three control hosts, one after the other, as an operator does: the new one
// first, with an empty disk and another address, then, when it has run for longer than catch_up_s, SIGTERM for the
// old one. The second replacement begins when the first machine has ended.
func replaceTwo(ctx context.Context, w *world) (verdict, error) {
	f, err := w.startFleet(3, 2)
	if err != nil {
		return verdict{}, err
	}
	for n := range 2 {
		if _, err := f.newRunner(ctx, "app", fmt.Sprintf("i-app%d", n), n); err != nil {
			return verdict{}, err
		}
	}
	o, c := newOperator(f), newClients(w)
	if err := f.startServing(ctx, o, c, false); err != nil {
		return verdict{}, err
	}
	pause(ctx, 5*time.Second)
	present := append([]*machine{}, f.controls...)
	for turn, at := range []int{2, 1} {
		if !troubled() {
			pause(ctx, catchUp+margin)
			continue
		}
		if present[at], err = f.replace(ctx, present[at], 13+turn); err != nil {
			return verdict{}, err
		}
		o.setHosts(present...)
		if turn == 0 {
			if !o.put(ctx, 2, document(false), 2*time.Second) {
				w.rec.line("configuration 2 was not acknowledged before the second replacement")
			}
		}
	}
	// Service may be suspended until recovery_s after all machines are back.
	back := time.Now()
	pause(ctx, recovery)
	return judgeReadBack(ctx, w, o, present, back, 45*time.Second)
}

// replace starts the n-th machine, lets it run and stops the machine that it replaces for good.
func (f *fleet) replace(ctx context.Context, old *machine, n int) (*machine, error) {
	successor, err := f.newMachine("control", n, f.seeds, false)
	if err != nil {
		return nil, err
	}
	if err := successor.start(); err != nil {
		return nil, err
	}
	pause(ctx, time.Until(successor.startedAt.Add(catchUp+margin)))
	f.rec.line("%s gets SIGTERM and leaves: %s has run for %v in its place", old.name, successor.name, catchUp+margin)
	old.signal(syscall.SIGTERM)
	if !old.awaitEnd(8 * time.Second) {
		return nil, fmt.Errorf("%s did not end", old.name)
	}
	f.rec.line("%s has ended", old.name)
	return successor, nil
}

// judgeReadBack reads the configuration again and again until the bound after the machines are back.
func judgeReadBack(ctx context.Context, w *world, o *operator, controls []*machine, back time.Time, bound time.Duration) (verdict, error) {
	reads, refused := 0, map[int]int{}
	var readAt time.Duration
	found := until(ctx, bound, func() bool {
		for _, m := range controls {
			status, content := o.read(ctx, m.ip)
			reads++
			if status == http.StatusOK {
				for version, sent := range o.content {
					if version >= o.acked && bytes.Equal(sent, content) {
						readAt = time.Since(back)
						w.rec.line("%s answers with configuration %d", m.name, version)
						return true
					}
				}
				w.rec.line("%s answers with an older configuration, or with another one", m.name)
			}
			refused[status]++
		}
		return false
	})
	for _, m := range controls {
		if !m.runs() {
			return verdict{}, fmt.Errorf("%s does not run", m.name)
		}
	}
	if !found {
		return verdict{broken: true, seen: fmt.Sprintf("all control hosts have run for %.0f s, and none of %d reads of the configuration was answered (answers by status: %v); the newest one that was acknowledged is %d", time.Since(back).Seconds(), reads, refused, o.acked)}, nil
	}
	if !o.put(ctx, 9, document(false), recovery) {
		return verdict{broken: true, seen: fmt.Sprintf("the configuration was read back after %.1f s, and a change was not acknowledged within %v", readAt.Seconds(), recovery)}, nil
	}
	return verdict{seen: fmt.Sprintf("the configuration was read back after %.1f s, and a change was acknowledged", readAt.Seconds())}, nil
}
