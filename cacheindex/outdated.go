package cacheindex

import "github.com/cespare/xxhash/v2"

// Outdated returns the parts of an inventory to retire, which are those of scopes that prompts no
// longer use. passed returns the fraction of a scope's prompts that have moved on to another one; as
// large a fraction of its parts is returned. Each call selects the same parts, so that the
// selection grows and does not move.
func Outdated(parts []Change, passed func(scope Scope) float64) []Change {
	var outdated []Change
	shares := make(map[string]float64)
	for _, part := range parts {
		share, known := shares[part.Key.Salt]
		if !known {
			if scope, ok := ParseSalt(part.Key.Salt); ok {
				share = passed(scope)
			}
			shares[part.Key.Salt] = share
		}
		if part.Tokens > 0 && unit(part.Key.Part) < share {
			outdated = append(outdated, part)
		}
	}
	return outdated
}

// unit maps a name to a number of at least 0 and below 1.
func unit(name string) float64 { return float64(xxhash.Sum64String(name)>>11) / (1 << 53) }
