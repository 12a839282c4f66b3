package cacheindex

import (
	"fmt"
	"strconv"
	"strings"
)

// Salt returns the name of the memory that prompts may share: that of one version of a
// model's weights and, unless team is empty, of one team.
func Salt(model string, version uint64, team string) string {
	if team == "" {
		return fmt.Sprintf("%s.%d", model, version)
	}
	return fmt.Sprintf("%s.%d/%s", model, version, team)
}

// ParseSalt returns the model and version of a salt, and false for a salt of another form.
func ParseSalt(salt string) (model string, version uint64, ok bool) {
	shared, _, _ := strings.Cut(salt, "/")
	at := strings.LastIndexByte(shared, '.')
	if at <= 0 {
		return "", 0, false
	}
	version, err := strconv.ParseUint(shared[at+1:], 10, 64)
	return shared[:at], version, err == nil
}
