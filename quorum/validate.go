package quorum

import "fmt"

// maxHostBytes is the maximum length of a host name in a message.
const maxHostBytes = 255

// MessageError is the error for a message that no correct node sends. It names
// the invalid field.
type MessageError struct {
	Type   MessageType
	Field  string
	Reason string
}

// Error implements error.
func (e *MessageError) Error() string {
	return fmt.Sprintf("quorum: message of type %d: %s %s", e.Type, e.Field, e.Reason)
}

// Validate returns an error for an invalid message decoded from the network. A
// damaged or hostile message could otherwise put entries with gaps into the log
// or raise the term. Step ignores messages for which Validate returns an error.
func (m *Message) Validate() error {
	switch {
	case m.Type < MsgPreVote || m.Type > MsgRevoke:
		return m.fieldError("Type", "is unknown")
	case m.From == "" || len(m.From) > maxHostBytes:
		return m.fieldError("From", "is empty or too long")
	case m.To == "" || len(m.To) > maxHostBytes:
		return m.fieldError("To", "is empty or too long")
	case m.FromDisk == 0:
		return m.fieldError("FromDisk", "is zero")
	case m.ToDisk == 0:
		return m.fieldError("ToDisk", "is zero")
	case m.LogTerm > m.Term:
		return m.fieldError("LogTerm", "is above Term")
	case len(m.Peers) > maxRecords+1:
		return m.fieldError("Peers", "has too many elements")
	case len(m.Entries) > 0 && m.Type != MsgAppend:
		return m.fieldError("Entries", "belong to an append only")
	case m.Type == MsgSnapshot:
		return m.validateChunk()
	}
	return m.validateEntries()
}

func (m *Message) fieldError(field, reason string) error {
	return &MessageError{Type: m.Type, Field: field, Reason: reason}
}

// validateEntries checks that the entries are consecutive from Index+1 on, that
// their terms don't decrease, and that none is above the sender's term.
func (m *Message) validateEntries() error {
	term := m.LogTerm
	for i := range m.Entries {
		e := &m.Entries[i]
		switch {
		case e.Index != m.Index+uint64(i)+1:
			return m.fieldError("Entries", "have a gap in Index")
		case e.Term < term || e.Term > m.Term:
			return m.fieldError("Entries", "have a Term out of order")
		case e.Kind > EntryMembers:
			return m.fieldError("Entries", "have an unknown Kind")
		case (e.Kind == EntryMembers) != (e.Members != nil):
			return m.fieldError("Entries", "have Members that don't fit the Kind")
		case e.Members != nil && !e.Members.valid():
			return m.fieldError("Entries", "have Members without voters, too many or a host twice")
		}
		term = e.Term
	}
	return nil
}

func (m *Message) validateChunk() error {
	c := m.Chunk
	switch {
	case c == nil:
		return m.fieldError("Chunk", "is missing")
	case c.Offset > c.Size || uint64(len(c.Data)) > c.Size-c.Offset:
		return m.fieldError("Chunk", "reaches beyond its Size")
	case c.Meta.Term > m.Term || c.Meta.Index == 0:
		return m.fieldError("Chunk", "has a position out of range")
	case !c.Meta.Members.valid():
		return m.fieldError("Chunk", "has Members without voters, too many or a host twice")
	}
	return nil
}
