package steward

import (
	"context"
	"errors"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/evacuation"
)

// ErrInvalid reports an order that can never be carried out. Nothing was changed.
var ErrInvalid = errors.New("steward: the order is not valid")

// Evacuate has the upstreams of a data centre get no new work, or get it again.
// Without an error the order is in the log of a quorum, and in force at every entry
// that asks for news; the same order may be sent again at any time.
func (s *Steward) Evacuate(ctx context.Context, o evacuation.Order) error {
	if err := o.Check(s.dataCentres()); err != nil {
		return errors.Join(ErrInvalid, err)
	}
	_, err := s.submit(ctx, submission{Evacuate: &o})
	if err == nil {
		s.options.Log.Info("evacuation", "data_centre", o.DataCentre, "withdrawn", o.Withdrawn)
	}
	return err
}

// dataCentres are those that an order may name: of the settings and, as one may be
// added while processes run, of the upstreams. None where the settings list none.
func (s *Steward) dataCentres() []string {
	if len(s.options.DataCentres) == 0 {
		return nil
	}
	known := slices.Clone(s.options.DataCentres)
	for _, u := range s.machine.live() {
		if u.DataCentre != "" && !slices.Contains(known, u.DataCentre) {
			known = append(known, u.DataCentre)
		}
	}
	return known
}

// applyEvacuation carries an order out. Upstreams may have turned cold while nothing
// was sent there: they count as cold from the withdrawal on. The caller holds the
// lock.
func (m *Machine) applyEvacuation(o evacuation.Order) {
	if !m.evacuation.Apply(o) {
		return
	}
	if o.Withdrawn {
		m.roster.PresumeCold(o.DataCentre, m.coldMs)
	}
	m.notifyOrder()
}

// evacuated returns the evacuations.
func (m *Machine) evacuated() evacuation.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.evacuation.View()
}

// heldEvacuation returns the revision from which on an order holds, false where it
// does not hold yet.
func (m *Machine) heldEvacuation(o evacuation.Order) (uint64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.evacuation.Revision(), m.evacuation.Holds(o)
}

// carryOutEvacuation commits an order on the leader, if it does not hold yet, and waits
// until it is in force.
func (s *Steward) carryOutEvacuation(ctx context.Context, o evacuation.Order) error {
	l := s.leading.Load()
	if l == nil {
		return ErrUnavailable
	}
	if _, holds := s.machine.heldEvacuation(o); !holds {
		if _, err := s.propose(ctx, command{Evacuate: &o}); err != nil {
			return err
		}
	}
	revision, holds := s.machine.heldEvacuation(o)
	if !holds {
		return eris.Wrap(ErrUnavailable, "another order has come in between, or too many data centres are evacuated")
	}
	return l.awaitInForce(ctx, func(v *EntryView) bool { return v.Evacuation < revision })
}
