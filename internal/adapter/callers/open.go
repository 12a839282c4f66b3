package callers

import (
	"fmt"
	"sync"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/outcome"
)

// openRetryAfter is the Retry-After of requests refused because of too many open ones.
const openRetryAfter = time.Second

// openRequests limits the number of open requests, in total and per team. A team is
// removed from the map with its last request, so that the map is bounded too.
type openRequests struct {
	max, maxPerTeam int

	mu    sync.Mutex
	all   int
	teams map[ident.Team]int
}

func newOpenRequests(maxAll, maxPerTeam int) *openRequests {
	return &openRequests{max: maxAll, maxPerTeam: maxPerTeam, teams: make(map[ident.Team]int)}
}

// acquire counts a request of team as open, or returns an error if a limit is reached.
// Each successful call must be followed by release.
func (o *openRequests) acquire(team ident.Team) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.teams[team] >= o.maxPerTeam {
		return &outcome.NotRun{
			Reason:     outcome.ReasonTeamLimit,
			Detail:     fmt.Sprintf("the team has %d requests open at this entry, the most it may have", o.maxPerTeam),
			RetryAfter: openRetryAfter,
		}
	}
	if o.all >= o.max {
		return &outcome.NotRun{
			Reason:     outcome.ReasonOverloaded,
			Detail:     fmt.Sprintf("this entry has %d requests open, the most it takes", o.max),
			RetryAfter: openRetryAfter,
		}
	}
	o.all++
	o.teams[team]++
	return nil
}

func (o *openRequests) release(team ident.Team) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.all--
	if o.teams[team]--; o.teams[team] == 0 {
		delete(o.teams, team)
	}
}

// total returns the number of open requests of all teams.
func (o *openRequests) total() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.all
}
