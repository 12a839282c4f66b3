package steward

import (
	"context"
	"errors"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/evacuation"
)

// ErrInvalid reports an order that can never be executed. Nothing was changed.
var ErrInvalid = errors.New("steward: the order is not valid")

// Evacuate stops new work for the upstreams of a data centre, or resumes it. Without an error
// the order is in the log of a quorum, and in force at every entry that watches the group; the
// same order may be sent again at any time.
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

// dataCentres lists the data centres that an order may name: those of the settings and those of
// the upstreams, since a data centre may be added while processes run. It returns nil if the
// settings list none.
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

// applyEvacuation applies an order. Upstreams may have turned cold while they received no
// requests: they count as cold from the withdrawal of the evacuation on. The caller holds the
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

// evacuated returns the evacuations in the replicated state.
func (m *Machine) evacuated() evacuation.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.evacuation.View()
}

// evacuationState returns the current revision of the evacuations, and whether an order is
// already applied. If it is, it is in force at every entry that has this revision or a later
// one, unless a later order reverses it.
func (m *Machine) evacuationState(o evacuation.Order) (uint64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.evacuation.Revision(), m.evacuation.Holds(o)
}

// executeEvacuation commits an order on the leader, unless it is already applied, and waits
// until it is in force.
func (s *Steward) executeEvacuation(ctx context.Context, o evacuation.Order) error {
	l := s.leading.Load()
	if l == nil {
		return ErrUnavailable
	}
	if _, holds := s.machine.evacuationState(o); !holds {
		if _, err := s.propose(ctx, command{Evacuate: &o}); err != nil {
			return err
		}
	}
	revision, holds := s.machine.evacuationState(o)
	if !holds {
		return eris.Wrap(ErrUnavailable, "another order has come in between, or too many data centres are evacuated")
	}
	return l.awaitInForce(ctx, func(v *EntryView) bool { return v.Evacuation < revision })
}
