package entry

import (
	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/keep"
)

// maxTeamsDumped bounds the teams in a dump, those that hold most first.
const maxTeamsDumped = 50

// budgetsOf lists what the teams are promised and allowed of kept prompts.
// Teams without a floor and a ceiling have the defaults of package keep.
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

// followBudgets brings the manager's budgets up to the configuration in force.
// Only the loop of plans calls it. The teams are listed without the mutex:
// there may be as many as callers.
func (k *keeper) followBudgets() {
	snapshot := k.entry.options.Control.Snapshot()
	if snapshot == k.budgeted {
		return
	}
	budgets := budgetsOf(snapshot)
	k.entry.mu.Lock()
	k.manager.SetBudgets(budgets)
	k.entry.mu.Unlock()
	k.budgeted = snapshot
}
