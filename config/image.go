package config

import "fmt"

// Image is the plain-data form of a State for snapshots of the replicated log.
type Image struct {
	Revision Revision          `cbor:"1,keyasint"`
	Document Document          `cbor:"2,keyasint"`
	History  []RevisionMeta    `cbor:"3,keyasint,omitempty"`
	Deltas   []Delta           `cbor:"4,keyasint,omitempty"`
	Requests []AnsweredRequest `cbor:"5,keyasint,omitempty"`
}

// AnsweredRequest is the first answer to a request ID.
type AnsweredRequest struct {
	ID      string        `cbor:"1,keyasint"`
	Content ContentDigest `cbor:"2,keyasint"`
	Result  Result        `cbor:"3,keyasint"`
}

// Image returns the complete state. Its lists are ordered from oldest to
// newest.
func (s *State) Image() Image {
	image := Image{
		Revision: s.current.revision,
		Document: s.current.Document(),
		History:  s.history.items,
		Deltas:   s.deltas.kept.items,
		Requests: make([]AnsweredRequest, 0, len(s.requestOrder.items)),
	}
	for _, id := range s.requestOrder.items {
		first := s.requests[id]
		image.Requests = append(image.Requests, AnsweredRequest{ID: id, Content: first.content, Result: first.result})
	}
	return image
}

// FromImage returns the state of an image. It refuses an inconsistent image.
func FromImage(image Image) (*State, error) {
	state := NewState()
	if image.Revision > 0 {
		current, err := NewSnapshot(image.Revision, image.Document)
		if err != nil {
			return nil, fmt.Errorf("config: image of revision %d: %w", image.Revision, err)
		}
		state.current = current
	}
	if err := image.checkSequences(); err != nil {
		return nil, err
	}
	state.history.items = image.History
	for _, delta := range image.Deltas {
		state.deltas.push(delta)
	}
	for _, request := range image.Requests {
		state.requests[request.ID] = recordedResult{content: request.Content, result: request.Result}
		state.requestOrder.push(request.ID)
	}
	return state, nil
}

// checkSequences checks that history and deltas run up to the image's revision
// without a gap, because both are indexed by position.
func (i *Image) checkSequences() error {
	for at, meta := range i.History {
		if meta.Revision+Revision(len(i.History)-at-1) != i.Revision {
			return fmt.Errorf("config: history of image %d has revision %d at index %d", i.Revision, meta.Revision, at)
		}
	}
	for at, delta := range i.Deltas {
		if delta.To != delta.From+1 || delta.To+Revision(len(i.Deltas)-at-1) != i.Revision {
			return fmt.Errorf("config: deltas of image %d have %d to %d at index %d", i.Revision, delta.From, delta.To, at)
		}
	}
	return nil
}
