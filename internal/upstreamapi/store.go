package upstreamapi

import (
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
)

// ReserveBody is the body of POST PathReserve.
type ReserveBody struct {
	Block          port.BlockID `json:"block"`
	Team           ident.Team   `json:"team"`
	Bytes          int64        `json:"bytes"`
	Tier           port.Tier    `json:"tier"`
	LifetimeMillis int64        `json:"lifetime_ms"`
}

// StatBody is the body of POST PathStat.
type StatBody struct {
	Blocks []port.BlockID `json:"blocks"`
}

// StatAnswer is the answer to StatBody, one state for each block in order.
type StatAnswer struct {
	States []port.SlotState `json:"states"`
}

// FreeBody is the body of POST PathFree.
type FreeBody struct {
	Block      port.BlockID `json:"block"`
	Generation uint64       `json:"generation"`
}
