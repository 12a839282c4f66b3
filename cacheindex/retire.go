package cacheindex

import "github.com/cespare/xxhash/v2"

// Outdated returns the parts of a shelf to retire, those of former weights: of
// each version as large a share as passed says has gone on to later weights. It
// takes the same parts at each call, so that the share grows and does not move.
func Outdated(parts []Change, passed func(model string, version uint64) float64) []Change {
	var outdated []Change
	shares := make(map[string]float64)
	for _, part := range parts {
		share, known := shares[part.Key.Salt]
		if !known {
			if model, version, ok := ParseSalt(part.Key.Salt); ok {
				share = passed(model, version)
			}
			shares[part.Key.Salt] = share
		}
		if part.Tokens > 0 && unit(part.Key.Part) < share {
			outdated = append(outdated, part)
		}
	}
	return outdated
}

// unit maps a name to a number from 0 to below 1.
func unit(name string) float64 { return float64(xxhash.Sum64String(name)>>11) / (1 << 53) }
