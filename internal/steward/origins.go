package steward

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/resumption"
	"github.com/lovagereach/lovagereach/roster"
)

// originRecords holds the origins of streams that entries told this host. They are kept in memory
// only: a stream ends within seconds, and other hosts hold the same records.
type originRecords struct {
	mu      sync.Mutex
	records *resumption.Records
}

// handleOrigin handles an entry's message about the origins of streams, on any control host.
func (s *Steward) handleOrigin(_ context.Context, _ port.Peer, _ port.Method, body []byte) ([]byte, error) {
	var request OriginRequest
	if err := wire.Unmarshal(body, &request); err != nil {
		return nil, eris.Wrap(err, "steward: origins")
	}
	answer := s.origins.exchange(&request, s.machine.streamLife(), time.Now())
	if request.Find != nil {
		if since, current := s.currentSince(time.Now()); current {
			answer.Only, answer.Known = s.machine.onlySoftware(request.Service, since)
		}
	}
	return wire.MustMarshal(answer), nil
}

// exchange adds the records of a request, which are kept for life at least, and returns the one that
// it asks for.
func (o *originRecords) exchange(request *OriginRequest, life time.Duration, now time.Time) *OriginAnswer {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.records.SetLife(life)
	for _, record := range request.Records {
		o.records.Put(record, now)
	}
	answer := &OriginAnswer{}
	if request.Find == nil {
		return answer
	}
	if record, found := o.records.Get(*request.Find, now); found {
		answer.Found = &record
	}
	return answer
}

// currentSince returns the time since which entries have learned of new versions from this host, or
// later: since it leads or, if it doesn't, the present. current is set if this host's state was
// complete within relayFreshness, which is less than resumption.SettleTime.
func (s *Steward) currentSince(now time.Time) (since time.Time, current bool) {
	if l := s.leading.Load(); l != nil {
		lease := s.leaseNow()
		return l.since, lease.Sub(l.asOf(lease)) <= relayFreshness
	}
	return now, s.relay.fresh(s.relay.now())
}

// trackSoftware records a change of an upstream's record. The caller holds the lock.
func (m *Machine) trackSoftware(before, after roster.Upstream, now time.Time) {
	if after.State != roster.Gone {
		m.software.Add(after.Service, after.Software, now, now)
	}
	if before.ID != "" && before.State != roster.Gone {
		m.software.Remove(before.Service, before.Software, now)
	}
}

// restoreSoftware records the software of all upstreams of a snapshot. Those that are gone may
// have left just now. The caller holds the lock.
func (m *Machine) restoreSoftware(upstreams []roster.Upstream, now time.Time) {
	m.software = resumption.NewVersions(time.Time{})
	if m.document != nil {
		m.software.SetCallersWait(m.document.LongestResumable())
	}
	for i := range upstreams {
		if u := &upstreams[i]; u.State == roster.Gone {
			m.software.Departed(u.Service, u.Software, now)
		} else {
			m.software.Add(u.Service, u.Software, time.Time{}, now)
		}
	}
}

// onlySoftware returns the software version at which all streams of a service began that callers
// may still resume, as far as this host's log tells.
func (m *Machine) onlySoftware(service string, since time.Time) (software string, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	return m.software.Only(service, since, now, now)
}

// streamLife returns the time for which callers may hold on to a stream.
func (m *Machine) streamLife() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.software.Life()
}

// Hosts lists the control hosts.
func (f *Follower) Hosts() []string {
	if hosts := f.hosts.Load(); hosts != nil {
		return *hosts
	}
	return nil
}

// Leader returns the control host that leads, empty if unknown.
func (f *Follower) Leader() string {
	if leader := f.leaderName.Load(); leader != nil {
		return string(*leader)
	}
	return ""
}

// ExchangeOrigins tells a control host the origins of streams, and asks it for one.
func (f *Follower) ExchangeOrigins(ctx context.Context, host string, request *OriginRequest) (*OriginAnswer, error) {
	address := net.JoinHostPort(host, strconv.Itoa(f.options.PeerPort))
	raw, err := f.options.Transport.Call(ctx, address, methodOrigin, wire.MustMarshal(request))
	if err != nil {
		return nil, err
	}
	answer := &OriginAnswer{}
	if err := wire.Unmarshal(raw, answer); err != nil {
		return nil, eris.Wrap(err, "steward: decode the answer about an origin")
	}
	return answer, nil
}
