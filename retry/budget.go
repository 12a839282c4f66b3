package retry

import (
	"math"

	"github.com/lovagereach/lovagereach/ident"
)

// BudgetOptions configures the budgets for attempts beyond the first.
type BudgetOptions struct {
	// Ratio is the number of further attempts that each first attempt adds to the
	// budget.
	Ratio float64
	// Burst is the maximum number of further attempts that a budget holds.
	Burst float64
	// MaxTeams bounds the number of team budgets; further teams share one per class.
	MaxTeams int
}

// DefaultBudgetOptions returns options that allow one further attempt per 12.5 first
// attempts.
func DefaultBudgetOptions() BudgetOptions {
	return BudgetOptions{Ratio: 0.08, Burst: 10, MaxTeams: 4096}
}

type budgetKey struct {
	team  ident.Team
	class ident.Class
}

// Budgets holds one token bucket per class and one per team and class. A further
// attempt needs a token from both, so that neither a failing class nor a failing team
// multiplies its requests. It is not safe for concurrent use.
type Budgets struct {
	options BudgetOptions
	classes map[ident.Class]float64
	teams   map[budgetKey]float64
	granted uint64
	denied  uint64
}

// NewBudgets returns full budgets.
func NewBudgets(options BudgetOptions) *Budgets {
	return &Budgets{
		options: options,
		classes: make(map[ident.Class]float64),
		teams:   make(map[budgetKey]float64),
	}
}

func (b *Budgets) key(team ident.Team, class ident.Class) budgetKey {
	key := budgetKey{team: team, class: class}
	if _, known := b.teams[key]; !known && len(b.teams) >= b.options.MaxTeams {
		return budgetKey{class: class}
	}
	return key
}

func (b *Budgets) classTokens(class ident.Class) float64 {
	tokens, known := b.classes[class]
	if !known {
		return b.options.Burst
	}
	return tokens
}

func (b *Budgets) teamTokens(key budgetKey) float64 {
	tokens, known := b.teams[key]
	if !known {
		return b.options.Burst
	}
	return tokens
}

// First adds a first attempt to the budgets of the team and the class.
func (b *Budgets) First(team ident.Team, class ident.Class) {
	key := b.key(team, class)
	b.classes[class] = math.Min(b.options.Burst, b.classTokens(class)+b.options.Ratio)
	b.teams[key] = math.Min(b.options.Burst, b.teamTokens(key)+b.options.Ratio)
}

// Take takes one token from the budgets of the team and the class, and reports
// whether the attempt is allowed.
func (b *Budgets) Take(team ident.Team, class ident.Class) bool {
	key := b.key(team, class)
	if b.classTokens(class) < 1 || b.teamTokens(key) < 1 {
		b.denied++
		return false
	}
	b.classes[class] = b.classTokens(class) - 1
	b.teams[key] = b.teamTokens(key) - 1
	b.granted++
	return true
}

// BudgetStats counts the further attempts that were granted and denied.
type BudgetStats struct {
	Granted uint64
	Denied  uint64
}

// Stats returns the counts since the start.
func (b *Budgets) Stats() BudgetStats {
	return BudgetStats{Granted: b.granted, Denied: b.denied}
}
