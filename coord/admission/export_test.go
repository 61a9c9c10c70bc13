package admission

// Flows returns the number of tenants whose shares are kept.
func (t *Target) Flows() int { return len(t.flows.byTenant) }
