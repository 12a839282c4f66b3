package order

// roleFor returns the role the engine should have, empty if the model has no roles.
// An engine keeps its role unless the role has more engines than wanted, so that as
// few engines as possible change.
func (m *modelPlan) roleFor(engine *Engine) string {
	if len(m.wanted.Roles) == 0 {
		return ""
	}
	have := make(map[string]int)
	for _, other := range m.engines {
		have[m.currentRole(other)]++
	}
	own := engine.State.Role
	for _, role := range m.wanted.Roles {
		if role.Role == own && have[own] <= m.roleCount(role) {
			return own
		}
	}
	for _, role := range m.wanted.Roles {
		if have[role.Role] < m.roleCount(role) {
			return role.Role
		}
	}
	return own
}

// currentRole returns the role of the engine's pending SetRole order, or else the role
// in its last state.
func (m *modelPlan) currentRole(engine *Engine) string {
	if last, pending := m.planner.issued[engine.ID]; pending && last.order.Kind == SetRole {
		return last.order.Role
	}
	if engine.State == nil {
		return ""
	}
	return engine.State.Role
}

// roleCount returns how many of the model's engines should have the role.
func (m *modelPlan) roleCount(role RoleCount) int {
	return int(role.Fraction*float64(len(m.engines)) + 0.5)
}
