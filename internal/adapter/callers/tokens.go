package callers

import (
	"encoding/json"
	"math"
)

// parseTokens parses a JSON array of tokens; raw must be valid JSON. Such prompts usually
// have many thousand tokens. encoding/json takes ten times as long for them, because it
// checks the type of each element.
func parseTokens(raw json.RawMessage, limit int) ([]uint32, error) {
	tokens := make([]uint32, 0, min(limit, len(raw)/2))
	value, digits := uint64(0), 0
	for _, char := range raw[1:] {
		switch {
		case char >= '0' && char <= '9':
			value = value*10 + uint64(char-'0')
			if digits++; value > math.MaxUint32 {
				return nil, invalid("prompt", "holds a token above %d", uint32(math.MaxUint32))
			}
		case char == ',' || char == ']':
			if digits == 0 {
				return nil, invalid("prompt", "has no tokens")
			}
			if len(tokens) == limit {
				return nil, invalid("prompt", "has more than %d tokens", limit)
			}
			tokens = append(tokens, uint32(value))
			value, digits = 0, 0
		case char == ' ' || char == '\n' || char == '\t' || char == '\r':
		default:
			return nil, invalid("prompt", "is neither one text nor an array of tokens from 0 to %d", uint32(math.MaxUint32))
		}
	}
	return tokens, nil
}
