// Package porttest has in-memory fakes of the ports, for tests of the packages that
// use ports. Its own tests are the contract tests of the ports: one table for each
// port, run over every implementation, with the faults of package standin.
package porttest

import (
	"context"
	"time"

	"github.com/lovagereach/lovagereach/internal/standin"
	"github.com/lovagereach/lovagereach/outcome"
)

// beforeCall applies the faults that occur before a request is run and returns the
// error that the caller of a port gets.
func beforeCall(ctx context.Context, faults *standin.Faults, path string) error {
	if fault, ok := faults.Take(standin.FaultLate, path); ok {
		if err := wait(ctx, time.Duration(fault.DelayMillis)*time.Millisecond); err != nil {
			return err
		}
	}
	if _, ok := faults.Take(standin.FaultHung, path); ok {
		<-ctx.Done()
		return timedOut()
	}
	if _, ok := faults.Take(standin.FaultRefused, path); ok {
		return &outcome.NotRun{Reason: outcome.ReasonRefused, Detail: "refused by a fault"}
	}
	if _, ok := faults.Take(standin.FaultUnavailable, path); ok {
		return &outcome.Unknown{Reason: outcome.ReasonUpstreamError, Detail: "unavailable by a fault"}
	}
	return nil
}

// afterCall applies the faults that affect the answer of a request that ran.
func afterCall(faults *standin.Faults, path string) error {
	for _, kind := range answerFaults {
		if _, ok := faults.Take(kind, path); ok {
			return faultError(kind)
		}
	}
	return nil
}

// answerFaults are the faults due to which a caller gets no valid answer.
var answerFaults = []standin.FaultKind{
	standin.FaultReset, standin.FaultError, standin.FaultCrossed, standin.FaultTruncated, standin.FaultHalfWritten,
}

// faultError returns the error that the caller gets for a fault of answerFaults.
func faultError(kind standin.FaultKind) error {
	detail := string(kind) + " by a fault"
	if kind == standin.FaultError {
		return &outcome.Failed{Reason: outcome.ReasonUpstreamError, Status: 500, Detail: detail}
	}
	return &outcome.Unknown{Reason: outcome.ReasonBadAnswer, Detail: detail}
}

// timedOut returns the error of a call whose context is done.
func timedOut() error {
	return &outcome.Unknown{Reason: outcome.ReasonTimeout, Detail: "no answer in time"}
}

func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return timedOut()
	}
}
