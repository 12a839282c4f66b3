package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"time"

	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/outcome"
)

const (
	// minReachedShare is the share of a service's upstreams from which on an entry sends all
	// requests to them itself. Below it, requests are forwarded in proportion: the few upstreams
	// that are reached would get the load of all.
	minReachedShare = 0.5
	// peerAvoided is how long an entry that could not be connected to is avoided.
	peerAvoided = time.Second
	// maxPeerLoads bounds the entries whose load is remembered.
	maxPeerLoads = 256
)

// peerLoad is what this entry has under way at another one.
type peerLoad struct {
	requests     int
	avoidedUntil time.Time
}

// Unreached returns the share of the upstreams that this entry doesn't reach, in percent.
func (g *Gateway) Unreached() int {
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	return g.state.unreached
}

// choosePeer returns the entry that the request is to be forwarded to, if it is. Only a request
// that was sent to no upstream is forwarded: the peer doesn't know of earlier sends.
func (r *run) choosePeer(now time.Time) (steward.PeerView, bool) {
	g := r.gateway
	if g.options.Peers == nil || r.request.Forwarded || r.sends > 0 || r.mayHaveRun || r.isTrial() {
		return steward.PeerView{}, false
	}
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.peers) == 0 {
		return steward.PeerView{}, false
	}
	share := s.reachedShare(r.service, now)
	if share >= minReachedShare || r.unsent == 0 && rand.Float64() < share {
		return steward.PeerView{}, false
	}
	return s.leastLoadedPeer(g.usablePeers(now))
}

// usablePeers lists the entries in this entry's region that are not avoided. The caller holds the
// lock.
func (g *Gateway) usablePeers(now time.Time) []steward.PeerView {
	var list []steward.PeerView
	for _, peer := range g.state.peers {
		if g.options.Regions[peer.DataCentre] != g.options.Regions[g.options.DataCentre] {
			continue
		}
		if load := g.state.peerLoads[peer.Host]; load == nil || !now.Before(load.avoidedUntil) {
			list = append(list, peer)
		}
	}
	return list
}

// leastLoadedPeer returns the entry with the fewest requests of this one under way.
func (s *state) leastLoadedPeer(peers []steward.PeerView) (best steward.PeerView, found bool) {
	fewest := 0
	for _, i := range rand.Perm(len(peers)) {
		requests := 0
		if load := s.peerLoads[peers[i].Host]; load != nil {
			requests = load.requests
		}
		if !found || requests < fewest {
			best, fewest, found = peers[i], requests, true
		}
	}
	return best, found
}

// peerLoad returns what is under way at another entry. The caller holds the lock.
func (s *state) peerLoad(host string) *peerLoad {
	load := s.peerLoads[host]
	if load == nil {
		if len(s.peerLoads) >= maxPeerLoads {
			clear(s.peerLoads)
		}
		load = &peerLoad{}
		s.peerLoads[host] = load
	}
	return load
}

// reachesNothing reports whether this entry reaches no upstream of the request's service and knows
// no entry that does: another attempt to connect would only delay the refusal.
func (r *run) reachesNothing(now time.Time) bool {
	s := r.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.reachesAny(r.service) && (r.request.Forwarded || len(r.gateway.usablePeers(now)) == 0)
}

// sendToPeer forwards the request to another entry and its answer to the caller. The peer answers
// for retries, and for whether the request has run.
func (r *run) sendToPeer(ctx context.Context, respond Responder, peer steward.PeerView) error {
	if err := r.stillWanted(ctx); err != nil {
		return err
	}
	g, s := r.gateway, r.gateway.state
	s.mu.Lock()
	load := s.peerLoad(peer.Host)
	load.requests++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		load.requests--
		s.mu.Unlock()
	}()
	r.forwardedTo = peer.Host
	g.meter.forwarded.Inc()
	answer, err := g.options.Peers.Forward(ctx, &Forward{
		Request: r.request, Host: peer.Host, Address: peer.Callers, Wait: r.timeForAnswer(time.Now()), UnderWay: time.Since(r.request.Arrived), Stream: r.isStream(), ResumeAfter: r.lastEvent,
	})
	if err != nil {
		r.recordForwardFailure(ctx, load, err)
		return err
	}
	defer answer.Body.Close()
	r.handedOver, r.mayHaveRun = true, true
	return r.forwardPeerAnswer(respond, answer)
}

// recordForwardFailure records why a request could not be forwarded.
func (r *run) recordForwardFailure(ctx context.Context, load *peerLoad, cause error) {
	var unsent *outcome.NotRun
	if !errors.As(cause, &unsent) {
		r.handedOver, r.mayHaveRun = true, true
		return
	}
	if unsent.Reason == outcome.ReasonDial && ctx.Err() == nil {
		s := r.gateway.state
		s.mu.Lock()
		load.avoidedUntil = time.Now().Add(peerAvoided)
		s.mu.Unlock()
	}
}

// forwardPeerAnswer forwards the answer of another entry to its end.
func (r *run) forwardPeerAnswer(respond Responder, answer *Answer) error {
	fw := &forwarder{run: r, respond: respond, answer: answer, buffering: r.route.Kind == catalog.Safe}
	for {
		piece, err := answer.Body.Next()
		ended := errors.Is(err, io.EOF)
		switch {
		case ended && r.endsChunks(fw):
			err = unfinished()
		case ended:
			err = fw.checkEnd()
		case err == nil:
			err = r.checkPiece(answer, piece)
		}
		if err != nil {
			err = r.rejected(err, nil)
			return &outcome.Unknown{Reason: outcome.ReasonStreamBroken, Detail: "the peer's answer ended early: " + err.Error()}
		}
		if ended {
			return fw.begin()
		}
		if r.first == 0 && !piece.Comment {
			r.first = time.Since(r.request.Arrived)
		}
		if err := fw.piece(piece); err != nil {
			return err
		}
	}
}
