package keep

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/prefix"
)

// fakeSlot is one slot of a fake store host.
type fakeSlot struct {
	name       string
	generation uint64
	block      prefix.BlockID
	phase      Phase
	content    uint64 // what a read returns; half the value while partly written
	bytes      int64
	tier       prefix.Tier
}

// fakeStore arbitrates slots as a real store host does. Slots are reused, so
// that a stale reader would get another block's content.
type fakeStore struct {
	name        ident.Upstream
	incarnation ident.Incarnation
	generation  uint64
	slots       []fakeSlot
	byBlock     map[prefix.BlockID]int
	// skipGeneration is a seeded fault: reads and writes ignore the generation.
	skipGeneration bool
}

func newFakeStore(name ident.Upstream, slots int) *fakeStore {
	s := &fakeStore{name: name, incarnation: 1, byBlock: make(map[prefix.BlockID]int)}
	for i := range slots {
		tier := prefix.Memory
		if i%2 == 1 {
			tier = prefix.Disk
		}
		s.slots = append(s.slots, fakeSlot{name: fmt.Sprint(i), tier: tier})
	}
	return s
}

func (s *fakeStore) state(i int) prefix.Copy {
	slot := &s.slots[i]
	return prefix.Copy{
		Slot:       slot.name,
		Generation: slot.generation,
		Bytes:      slot.bytes,
		Checksum:   slot.content,
		Tier:       slot.tier,
	}
}

func (s *fakeStore) reserve(block prefix.BlockID, bytes int64, tier prefix.Tier) Reservation {
	answer := Reservation{Incarnation: s.incarnation}
	if i, ok := s.byBlock[block]; ok {
		answer.Committed = s.slots[i].phase == Committed
		answer.Copy = s.state(i)
		return answer
	}
	for i := range s.slots {
		slot := &s.slots[i]
		if slot.phase != Absent || slot.tier != tier {
			continue
		}
		s.generation++
		slot.block, slot.phase, slot.bytes, slot.generation = block, Reserving, bytes, s.generation
		s.byBlock[block] = i
		answer.Granted = true
		answer.Copy = s.state(i)
		return answer
	}
	answer.Full = true
	return answer
}

func (s *fakeStore) find(name string, generation uint64) *fakeSlot {
	for i := range s.slots {
		if s.slots[i].name == name && (s.slots[i].generation == generation || s.skipGeneration) {
			return &s.slots[i]
		}
	}
	return nil
}

// write fills a slot, half of it if complete is false.
func (s *fakeStore) write(name string, generation, content uint64, complete bool) bool {
	slot := s.find(name, generation)
	if slot == nil || slot.phase != Reserving {
		return false
	}
	slot.content = content
	if !complete {
		slot.content = content / 2
	}
	return true
}

func (s *fakeStore) commit(name string, generation, checksum uint64) (prefix.Copy, bool) {
	for i := range s.slots {
		slot := &s.slots[i]
		if slot.name != name || slot.generation != generation || slot.content != checksum || slot.phase == Absent {
			continue
		}
		slot.phase = Committed
		return s.state(i), true
	}
	return prefix.Copy{}, false
}

func (s *fakeStore) free(i int) {
	delete(s.byBlock, s.slots[i].block)
	s.slots[i].phase = Absent
}

func (s *fakeStore) freeGeneration(block prefix.BlockID, generation uint64) {
	if i, ok := s.byBlock[block]; ok && s.slots[i].generation == generation {
		s.free(i)
	}
}

// restart starts a new incarnation, either empty or with the committed slots
// under new generations.
func (s *fakeStore) restart(empty bool) {
	s.incarnation++
	for i := range s.slots {
		if s.slots[i].phase == Absent {
			continue
		}
		if empty || s.slots[i].phase != Committed {
			s.free(i)
			continue
		}
		s.generation++
		s.slots[i].generation = s.generation
	}
}

// fakePrompt is one prompt with the expected content of its blocks.
type fakePrompt struct {
	scope       prefix.Scope
	class       ident.Class
	blocks      []prefix.BlockID
	wantContent []uint64
}

const harnessBlockTokens = 4

// newFakePrompt returns a prompt. Prompts with the same topic have the same
// tokens whatever their team and version; only the key distinguishes them.
func newFakePrompt(scope prefix.Scope, topic, blocks int, dropTeam bool) fakePrompt {
	tokens := make([]uint32, blocks*harnessBlockTokens)
	for i := range tokens {
		tokens[i] = uint32(topic*1000 + i)
	}
	named := scope
	if dropTeam {
		named.Team = ""
	}
	p := fakePrompt{
		scope:  scope,
		class:  ident.Class(fmt.Sprint("class", topic%2)),
		blocks: prefix.Chain(prefix.Key{1}, named, tokens, harnessBlockTokens),
	}
	for i := range p.blocks {
		text := fmt.Sprint(scope, tokens[:(i+1)*harnessBlockTokens])
		p.wantContent = append(p.wantContent, xxhash.Sum64String(text))
	}
	return p
}
