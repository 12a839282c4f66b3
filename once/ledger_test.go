package once

import (
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/outcome"
)

const testStart = int64(1_764_700_000_000)

func testClaim(text string, claim byte) Claim {
	key := Key{Team: "florists", Service: "clock-app", Text: text}
	return Claim{
		Key:        key,
		Digest:     DigestCall("POST", "/bid", []byte("amount=3")),
		Owner:      Owner{Host: "e1", Incarnation: 1},
		ID:         ClaimID{claim},
		HoldMillis: time.Minute.Milliseconds(),
	}
}

func (c Claim) release() Release {
	return Release{Key: c.Key, Digest: c.Digest, Owner: c.Owner, ID: c.ID, Reason: outcome.ReasonDial}
}

func (c Claim) done(body string) Record {
	return Record{Key: c.Key, ID: c.ID, Answer: Answer{Kind: outcome.KindDone, Status: 201, Body: []byte(body)}}
}

// step is one command, applied after a delay, and the expected result. An empty
// body or reason isn't checked.
type step struct {
	delay   time.Duration
	command Command
	want    Status
	body    string
	reason  outcome.Reason
}

func claimStep(c Claim, want Status) step { return step{command: Command{Claim: &c}, want: want} }

func releaseStep(r Release, want Status) step { return step{command: Command{Release: &r}, want: want} }

func recordStep(r Record, want Status) step { return step{command: Command{Record: &r}, want: want} }

func (s step) withDelay(d time.Duration) step { s.delay = d; return s }

func (s step) withBody(body string) step { s.body = body; return s }

func (s step) withReason(reason outcome.Reason) step { s.reason = reason; return s }

// runSteps applies the steps in order, starting at the ledger's time.
func runSteps(t *testing.T, l *Ledger, steps []step) {
	t.Helper()
	now := max(l.now, testStart)
	for i, s := range steps {
		now += s.delay.Milliseconds()
		s.command.NowMillis = now
		data := l.Apply(0, s.command.Encode())
		got, err := DecodeResult(data)
		if err != nil {
			t.Fatal(err)
		}
		if got.Status != s.want {
			t.Fatalf("step %d: status %d (%s), want %d", i, got.Status, got.Detail, s.want)
		}
		if s.body != "" && (got.Answer == nil || string(got.Answer.Body) != s.body) {
			t.Fatalf("step %d: answer %+v, want body %q", i, got.Answer, s.body)
		}
		if s.reason != "" && got.Reason != s.reason && (got.Answer == nil || got.Answer.Reason != s.reason) {
			t.Fatalf("step %d: %+v, want reason %q", i, got, s.reason)
		}
	}
}

// Each case applies a sequence of claims, records, releases, owner losses and
// delays. In every order at most one claim may be granted, and every later
// claim must get the first recorded outcome. A second grant would run a bid or
// a confirmation twice.
func TestClaimSequences(t *testing.T) {
	first, second, third := testClaim("k", 1), testClaim("k", 2), testClaim("k", 5)
	other := second
	other.Digest = DigestCall("POST", "/bid", []byte("amount=4"))
	restarted := testClaim("k2", 3)
	restarted.Owner.Incarnation = 2
	stale := testClaim("k3", 4)
	day := 25 * time.Hour
	cases := []struct {
		name  string
		steps []step
	}{
		{"duplicate gets in-flight, then the recorded answer", []step{
			claimStep(first, StatusGranted),
			claimStep(second, StatusInFlight),
			recordStep(first.done("bid 7"), StatusAnswered).withBody("bid 7"),
			claimStep(second, StatusAnswered).withBody("bid 7"),
		}},
		{"claim resent after a lost answer is granted again", []step{
			claimStep(first, StatusGranted),
			claimStep(first, StatusGranted),
		}},
		{"first recorded outcome is final", []step{
			claimStep(first, StatusGranted),
			recordStep(first.done("a"), StatusAnswered),
			recordStep(first.done("b"), StatusAnswered).withBody("a"),
		}},
		{"other content under the same key", []step{
			claimStep(first, StatusGranted),
			claimStep(other, StatusConflict),
			recordStep(first.done("a"), StatusAnswered),
			claimStep(other, StatusConflict),
		}},
		{"released by its owner, then granted to another claim", []step{
			claimStep(first, StatusGranted),
			releaseStep(first.release(), StatusReleased),
			claimStep(second, StatusGranted),
			claimStep(first, StatusReleased),
			releaseStep(second.release(), StatusReleased),
			claimStep(first, StatusReleased),
			claimStep(third, StatusGranted),
		}},
		{"release of a claim that doesn't hold the key", []step{
			claimStep(first, StatusGranted),
			releaseStep(second.release(), StatusReleased),
			claimStep(third, StatusInFlight),
			claimStep(second, StatusReleased),
			recordStep(first.done("a"), StatusAnswered).withBody("a"),
		}},
		{"release that arrives before its claim", []step{
			releaseStep(first.release(), StatusReleased),
			claimStep(first, StatusReleased).withReason(outcome.ReasonDial),
			claimStep(second, StatusGranted),
		}},
		{"release after the outcome changes nothing", []step{
			claimStep(first, StatusGranted),
			recordStep(first.done("a"), StatusAnswered),
			releaseStep(first.release(), StatusAnswered).withBody("a"),
			claimStep(second, StatusAnswered).withBody("a"),
		}},
		{"record after release is not kept", []step{
			claimStep(first, StatusGranted),
			releaseStep(first.release(), StatusReleased),
			recordStep(first.done("a"), StatusReleased),
		}},
		{"hold ends without an outcome", []step{
			claimStep(first, StatusGranted),
			claimStep(second, StatusInFlight).withDelay(time.Minute - time.Millisecond),
			claimStep(second, StatusAnswered).withDelay(time.Millisecond).withReason(outcome.ReasonOwnerLost),
			recordStep(first.done("late"), StatusAnswered).withBody("late"),
			claimStep(second, StatusAnswered).withBody("late"),
		}},
		{"owner declared lost", []step{
			claimStep(first, StatusGranted),
			{command: Command{LostOwner: &Owner{Host: "e1", Incarnation: 1}}, want: StatusOK},
			claimStep(second, StatusAnswered).withReason(outcome.ReasonOwnerLost),
		}},
		{"newer incarnation of the owner makes earlier claims unknown", []step{
			claimStep(first, StatusGranted),
			claimStep(restarted, StatusGranted),
			claimStep(restarted, StatusGranted),
			claimStep(stale, StatusStaleOwner),
		}},
		{"undated key older than the retention", []step{
			claimStep(first, StatusGranted),
			recordStep(first.done("a"), StatusAnswered),
			claimStep(second, StatusExpired).withDelay(day),
			claimStep(second, StatusExpired).withDelay(1000 * day),
		}},
		{"released key older than the retention", []step{
			claimStep(first, StatusGranted),
			releaseStep(first.release(), StatusReleased),
			claimStep(second, StatusExpired).withDelay(day),
		}},
		{"dated key older than the retention", []step{
			claimStep(testClaim("1764700000000.order-17", 1), StatusGranted),
			claimStep(testClaim("1764700000000.order-17", 2), StatusExpired).withDelay(day),
			claimStep(testClaim("1764700000000.order-18", 2), StatusExpired),
		}},
		{"key dated in the future", []step{
			claimStep(testClaim("1764799999999.order-17", 1), StatusBad),
		}},
		{"ledger time never decreases", []step{
			claimStep(first, StatusGranted),
			claimStep(second, StatusExpired).withDelay(day),
			claimStep(second, StatusExpired).withDelay(-day),
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runSteps(t, New(), c.steps)
			// Saving and restoring the ledger before each step must not change
			// any status.
			restored := New()
			for i := range c.steps {
				data, err := restored.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				restored = New()
				if err := restored.Restore(data); err != nil {
					t.Fatal(err)
				}
				s := c.steps[i]
				if i == 0 {
					restored.now = testStart
				}
				runSteps(t, restored, []step{s})
			}
		})
	}
}
