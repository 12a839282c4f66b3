package main

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/internal/control"
)

// pollInterval is the interval at which waitUntil checks its condition.
const pollInterval = 10 * time.Millisecond

// waitUntil waits until condition holds. It returns an error with what if ctx ends
// before.
func waitUntil(ctx context.Context, what string, condition func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return eris.Errorf("%s: not within the time allowed", what)
		}
	}
	return nil
}

// waitLeader waits until the control group has a leader and every control host is a
// voter, and returns the leader.
func (d *deployment) waitLeader(ctx context.Context) (*control.Server, error) {
	var found *control.Server
	err := waitUntil(ctx, "a leader and all voters of the control group", func() bool {
		for _, host := range d.controls.hosts {
			status := host.Server().Status()
			if status.Leading != nil && len(status.Group.Voters) == len(d.controls.hosts) {
				found = host.Server()
			}
		}
		return found != nil
	})
	return found, err
}

// waitAnnounced waits until every entry offers every stand-in.
func (d *deployment) waitAnnounced(ctx context.Context) error {
	return waitUntil(ctx, "announcement of the stand-ins", func() bool {
		for _, host := range d.entries {
			offered := 0
			for _, upstream := range host.Entry().Dump().Upstreams {
				if upstream.Offered {
					offered++
				}
			}
			if offered < len(d.standins.all) {
				return false
			}
		}
		return true
	})
}

// waitServing waits until every entry holds a serving lease and has at least the given
// revision.
func (d *deployment) waitServing(ctx context.Context, revision config.Revision) error {
	return waitUntil(ctx, "serving leases", func() bool {
		for _, host := range d.entries {
			if host.Entry().Ready() != nil || host.Entry().Dump().Revision < uint64(revision) {
				return false
			}
		}
		return true
	})
}

// apply brings the configuration into force unless the data folder contains one, and
// returns its revision.
func (d *deployment) apply(ctx context.Context) (config.Revision, error) {
	leader, err := d.waitLeader(ctx)
	if err != nil {
		return 0, err
	}
	current, err := leader.Get(ctx)
	if err != nil {
		return 0, err
	}
	if current.Revision() > 0 {
		return current.Revision(), nil
	}
	for {
		revision, err := applyFirst(ctx, leader)
		if err == nil || ctx.Err() != nil {
			return revision, err
		}
		// The leader was replaced before the change was in force. The request
		// to the next leader has the same request id, so it is no second change.
		if leader, err = d.waitLeader(ctx); err != nil {
			return 0, err
		}
	}
}

// applyFirst sends the first configuration to the leader and returns its revision.
func applyFirst(ctx context.Context, leader *control.Server) (config.Revision, error) {
	doc := demoConfig()
	doc.Normalize()
	answer, err := leader.Apply(ctx, control.ApplyRequest{RequestID: "lovage-dev-first", Author: "lovage-dev", Document: doc})
	if err != nil {
		return 0, err
	}
	if answer.Result.Verdict != config.VerdictApplied || !answer.InForce {
		return 0, eris.Errorf("configuration: verdict %v, in force %t", answer.Result.Verdict, answer.InForce)
	}
	return answer.Result.Revision, nil
}

// waitReady waits until the deployment serves callers.
func (d *deployment) waitReady(ctx context.Context) error {
	revision, err := d.apply(ctx)
	if err != nil {
		return err
	}
	if err := d.waitServing(ctx, revision); err != nil {
		return err
	}
	return d.waitAnnounced(ctx)
}
