package entry

import (
	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/keep"
)

// maxTeamsDumped bounds the teams in a dump. Those with the most kept bytes
// come first.
const maxTeamsDumped = 50

// budgetsOf returns the guaranteed and maximum shares of store capacity of each
// team. Teams without configured shares get the defaults of package keep.
func budgetsOf(snapshot *config.Snapshot) map[ident.Team]keep.Budget {
	budgets := make(map[ident.Team]keep.Budget)
	for team := range snapshot.Teams() {
		if team.Share.Guaranteed != 0 || team.Share.Maximum != 0 {
			budgets[team.Name] = keep.Budget{
				Guaranteed: team.Share.Guaranteed.Fraction(),
				Maximum:    team.Share.Maximum.Fraction(),
			}
		}
	}
	return budgets
}

// followBudgets updates the manager's budgets to the configuration in force.
// Only the planning loop calls it. The budgets are computed without the mutex
// because the number of teams can be as large as the number of callers.
func (k *keeper) followBudgets() {
	snapshot := k.entry.options.Control.Snapshot()
	if snapshot == k.budgetSnapshot {
		return
	}
	budgets := budgetsOf(snapshot)
	k.entry.mu.Lock()
	k.manager.SetBudgets(budgets)
	k.entry.mu.Unlock()
	k.budgetSnapshot = snapshot
}
