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

// step is one command after some time, with the status it must get.
type step struct {
	after   time.Duration
	command Command
	want    Status
	body    string
	reason  outcome.Reason
}

func claimStep(c Claim, want Status) step { return step{command: Command{Claim: &c}, want: want} }

func releaseStep(r Release, want Status) step { return step{command: Command{Release: &r}, want: want} }

func recordStep(r Record, want Status) step { return step{command: Command{Record: &r}, want: want} }

func (s step) later(d time.Duration) step { s.after = d; return s }

func (s step) answers(body string) step { s.body = body; return s }

func (s step) because(reason outcome.Reason) step { s.reason = reason; return s }

func run(t *testing.T, l *Ledger, steps []step) {
	t.Helper()
	now := max(l.now, testStart)
	for i, s := range steps {
		now += s.after.Milliseconds()
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

// Each case takes keys through claims, records, releases, losses of their owner
// and the passing of time. Whatever the order, at most one claim wins the right
// to send, and everyone who asks later gets the first outcome; a second winner
// would be a bid or a confirmation that runs twice.
func TestLedgerLifeOfAKey(t *testing.T) {
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
		{"duplicate in flight waits, then gets the same answer", []step{
			claimStep(first, StatusGranted),
			claimStep(second, StatusInFlight),
			recordStep(first.done("bid 7"), StatusAnswered).answers("bid 7"),
			claimStep(second, StatusAnswered).answers("bid 7"),
		}},
		{"claim resent after a lost answer is won again", []step{
			claimStep(first, StatusGranted),
			claimStep(first, StatusGranted),
		}},
		{"the first outcome stands", []step{
			claimStep(first, StatusGranted),
			recordStep(first.done("a"), StatusAnswered),
			recordStep(first.done("b"), StatusAnswered).answers("a"),
		}},
		{"other content under the same key", []step{
			claimStep(first, StatusGranted),
			claimStep(other, StatusConflict),
			recordStep(first.done("a"), StatusAnswered),
			claimStep(other, StatusConflict),
		}},
		{"released by its owner, then claimed anew", []step{
			claimStep(first, StatusGranted),
			releaseStep(first.release(), StatusReleased),
			claimStep(second, StatusGranted),
			claimStep(first, StatusReleased),
			releaseStep(second.release(), StatusReleased),
			claimStep(first, StatusReleased),
			claimStep(third, StatusGranted),
		}},
		{"released by another claim", []step{
			claimStep(first, StatusGranted),
			releaseStep(second.release(), StatusReleased),
			claimStep(third, StatusInFlight),
			claimStep(second, StatusReleased),
			recordStep(first.done("a"), StatusAnswered).answers("a"),
		}},
		{"release that overtakes its claim", []step{
			releaseStep(first.release(), StatusReleased),
			claimStep(first, StatusReleased).because(outcome.ReasonDial),
			claimStep(second, StatusGranted),
		}},
		{"release after the outcome changes nothing", []step{
			claimStep(first, StatusGranted),
			recordStep(first.done("a"), StatusAnswered),
			releaseStep(first.release(), StatusAnswered).answers("a"),
			claimStep(second, StatusAnswered).answers("a"),
		}},
		{"record after release is not kept", []step{
			claimStep(first, StatusGranted),
			releaseStep(first.release(), StatusReleased),
			recordStep(first.done("a"), StatusReleased),
		}},
		{"owner silent past its hold", []step{
			claimStep(first, StatusGranted),
			claimStep(second, StatusInFlight).later(time.Minute - time.Millisecond),
			claimStep(second, StatusAnswered).later(time.Millisecond).because(outcome.ReasonOwnerLost),
			recordStep(first.done("late"), StatusAnswered).answers("late"),
			claimStep(second, StatusAnswered).answers("late"),
		}},
		{"owner declared lost", []step{
			claimStep(first, StatusGranted),
			{command: Command{LostOwner: &Owner{Host: "e1", Incarnation: 1}}, want: StatusOK},
			claimStep(second, StatusAnswered).because(outcome.ReasonOwnerLost),
		}},
		{"a later incarnation of the owner ends the claims of the earlier", []step{
			claimStep(first, StatusGranted),
			claimStep(restarted, StatusGranted),
			claimStep(restarted, StatusGranted),
			claimStep(stale, StatusStaleOwner),
		}},
		{"undated key older than the retention", []step{
			claimStep(first, StatusGranted),
			recordStep(first.done("a"), StatusAnswered),
			claimStep(second, StatusExpired).later(day),
			claimStep(second, StatusExpired).later(1000 * day),
		}},
		{"released key older than the retention", []step{
			claimStep(first, StatusGranted),
			releaseStep(first.release(), StatusReleased),
			claimStep(second, StatusExpired).later(day),
		}},
		{"dated key older than the retention", []step{
			claimStep(testClaim("1764700000000.order-17", 1), StatusGranted),
			claimStep(testClaim("1764700000000.order-17", 2), StatusExpired).later(day),
			claimStep(testClaim("1764700000000.order-18", 2), StatusExpired),
		}},
		{"dated key from the future", []step{
			claimStep(testClaim("1764799999999.order-17", 1), StatusBad),
		}},
		{"time never goes back", []step{
			claimStep(first, StatusGranted),
			claimStep(second, StatusExpired).later(day),
			claimStep(second, StatusExpired).later(-day),
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			run(t, New(), c.steps)
			// The same commands on a ledger that is saved and restored before
			// each step must give the same statuses.
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
				run(t, restored, []step{s})
			}
		})
	}
}
