//go:build race

package steward

// underRace tells that the race detector is on.
const underRace = true
