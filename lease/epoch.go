package lease

import "github.com/lovagereach/lovagereach/ident"

// Token is a fencing token: the number of a committed epoch. A larger token is
// from a later epoch.
type Token uint64

// Epoch is the period of one leader, which begins with the commit of its token.
type Epoch struct {
	Token  Token      `cbor:"1,keyasint" json:"token"`
	Leader ident.Host `cbor:"2,keyasint" json:"leader"`
	// At is the start by the leader's clock, in Unix microseconds. It is for
	// display only.
	At int64 `cbor:"3,keyasint" json:"at_us"`
}

// Epochs is the replicated epoch counter. It is not safe for concurrent use.
type Epochs struct {
	current Epoch
}

// RestoreEpochs returns the counter as of a snapshot whose latest epoch is
// current.
func RestoreEpochs(current Epoch) *Epochs { return &Epochs{current: current} }

// Open starts an epoch. A leader opens one after each election, even if it led
// before, because its earlier orders may still be in transit.
func (e *Epochs) Open(leader ident.Host, at int64) Epoch {
	e.current = Epoch{Token: e.current.Token + 1, Leader: leader, At: at}
	return e.current
}

// Current returns the latest epoch.
func (e *Epochs) Current() Epoch { return e.current }

// Fence is the state of an upstream that checks fencing tokens. Stand-ins and
// tests use it as the model.
type Fence struct {
	highest Token
}

// Admit reports whether an order with the given token may be executed.
func (f *Fence) Admit(token Token) bool {
	if token < f.highest {
		return false
	}
	f.highest = token
	return true
}

// Highest returns the largest token received.
func (f *Fence) Highest() Token { return f.highest }
