package standin

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/upstreamapi"
)

func (s *Store) handleReserve(w http.ResponseWriter, r *http.Request) {
	var body upstreamapi.ReserveBody
	if !decode(w, r, &body) {
		return
	}
	s.counters.reservations.Add(1)
	if _, full := s.faults.Take(FaultFull, r.URL.Path); full {
		s.counters.fullAnswers.Add(1)
		state := port.SlotState{Block: body.Block, Phase: port.SlotAbsent}
		upstreamapi.WriteJSON(w, http.StatusOK, port.Reservation{Full: true, State: state})
		return
	}
	s.mu.Lock()
	reservation, err := s.slots.reserve(time.Now(), port.ReserveRequest{
		Block:    body.Block,
		Team:     body.Team,
		Bytes:    body.Bytes,
		Tier:     body.Tier,
		Lifetime: time.Duration(body.LifetimeMillis) * time.Millisecond,
	})
	s.mu.Unlock()
	if reservation.Full {
		s.counters.fullAnswers.Add(1)
	}
	s.answer(w, r, reservation, err)
}

func (s *Store) handleCommit(w http.ResponseWriter, r *http.Request) {
	var req port.CommitRequest
	if !decode(w, r, &req) {
		return
	}
	s.mu.Lock()
	state, err := s.slots.commit(time.Now(), req)
	s.mu.Unlock()
	if err != nil {
		s.counters.badCommits.Add(1)
	}
	s.answer(w, r, state, err)
}

func (s *Store) handleStat(w http.ResponseWriter, r *http.Request) {
	var body upstreamapi.StatBody
	if !decode(w, r, &body) {
		return
	}
	answer := upstreamapi.StatAnswer{States: make([]port.SlotState, len(body.Blocks))}
	s.mu.Lock()
	s.slots.expire(time.Now())
	for i, block := range body.Blocks {
		answer.States[i] = s.slots.stat(block)
	}
	s.mu.Unlock()
	s.answer(w, r, answer, nil)
}

func (s *Store) handleFree(w http.ResponseWriter, r *http.Request) {
	var body upstreamapi.FreeBody
	if !decode(w, r, &body) {
		return
	}
	s.mu.Lock()
	err := s.slots.free(body.Block, body.Generation)
	s.mu.Unlock()
	s.answer(w, r, struct{}{}, err)
}

// handleWrite stores a slot's content sent by an engine.
func (s *Store) handleWrite(w http.ResponseWriter, r *http.Request) {
	name, generation, ok := parseSlot(w, r)
	if !ok {
		return
	}
	data, err := upstreamapi.ReadBounded(r.Body, upstreamapi.MaxRequestBytes)
	if err == nil {
		err = s.awaitTransfer(r, name, int64(len(data)))
	}
	if err != nil {
		s.answer(w, r, nil, err)
		return
	}
	if _, half := s.faults.Take(FaultHalfWritten, upstreamapi.PathSlots); half {
		data = data[:len(data)/2]
	}
	s.mu.Lock()
	err = s.slots.write(name, generation, data)
	s.mu.Unlock()
	s.counters.written.Add(uint64(len(data)))
	s.answer(w, r, struct{}{}, err)
}

// handleRead returns a slot's content to an engine.
func (s *Store) handleRead(w http.ResponseWriter, r *http.Request) {
	name, generation, ok := parseSlot(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	state, data, err := s.slots.read(name, generation)
	s.mu.Unlock()
	if err == nil {
		err = s.awaitTransfer(r, name, int64(len(data)))
	}
	if err != nil {
		s.counters.refusedReads.Add(1)
		s.answer(w, r, nil, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set(upstreamapi.HeaderGeneration, strconv.FormatUint(state.Generation, 10))
	w.Header().Set(upstreamapi.HeaderChecksum, strconv.FormatUint(state.Checksum, 16))
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	s.counters.read.Add(uint64(len(data)))
	_, _ = w.Write(data)
}

// awaitTransfer waits for the time that a transfer of size bytes takes on the
// link and, if the slot is on disk, on the disk.
func (s *Store) awaitTransfer(r *http.Request, name string, size int64) error {
	now := time.Now()
	ready := s.link.reserve(now, size)
	s.mu.Lock()
	slot, ok := s.slots.byName[name]
	onDisk := ok && slot.state.Tier == port.TierDisk
	s.mu.Unlock()
	if onDisk {
		if done := s.disk.reserve(now, size); done.After(ready) {
			ready = done
		}
	}
	return sleep(r.Context(), time.Until(ready))
}

// parseSlot returns the slot name and generation of a request. On failure it
// writes the error answer.
func parseSlot(w http.ResponseWriter, r *http.Request) (string, uint64, bool) {
	generation, err := strconv.ParseUint(r.Header.Get(upstreamapi.HeaderGeneration), 10, 64)
	if err != nil {
		upstreamapi.WriteError(w, http.StatusBadRequest, "invalid_generation", err.Error())
		return "", 0, false
	}
	return r.PathValue("slot"), generation, true
}

// decode decodes the request's body into v. On failure it writes the error
// answer.
func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := upstreamapi.DecodeBounded(r.Body, upstreamapi.MaxRequestBytes, v); err != nil {
		upstreamapi.WriteError(w, http.StatusBadRequest, "invalid_request", err.Error())
		return false
	}
	return true
}

// answer writes v, or err if it is not nil.
func (s *Store) answer(w http.ResponseWriter, _ *http.Request, v any, err error) {
	switch {
	case err == nil:
		upstreamapi.WriteJSON(w, http.StatusOK, v)
	case errors.Is(err, errBadReserve):
		upstreamapi.WriteError(w, http.StatusBadRequest, "invalid_request", err.Error())
	default:
		upstreamapi.WriteError(w, http.StatusConflict, "slot_conflict", err.Error())
	}
}
