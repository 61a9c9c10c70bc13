package entry

import "sassafrasnotch.example/coord/balance"

// withinRegions returns the choice among the hosts to which the request may be sent, nil if there is none: those
// in the regions of its route and of its tenant, where these list any.
func (c *callerRequest) withinRegions(choice *balance.Choice) *balance.Choice {
	tenant := c.tenantRegions()
	if len(c.route.Regions)+len(tenant) == 0 {
		return choice
	}
	return choice.Within(c.route.Regions, tenant)
}

// tenantRegions returns the regions to which requests of the tenant may be sent; empty means any.
func (c *callerRequest) tenantRegions() []string {
	if c.tenant == nil {
		return nil
	}
	return c.tenant.Regions
}

// noTarget returns the refusal of a request for which no host is known at all.
func (c *callerRequest) noTarget() *failure {
	detail := "no target of service " + c.service + " is known"
	if len(c.route.Regions)+len(c.tenantRegions()) > 0 {
		detail += " in the regions that the route and the tenant allow"
	}
	if zones := c.entry.routing.evacuatedZones(); len(zones) > 0 {
		detail += " outside evacuated zones"
	}
	return refused(ReasonNoTarget, stepBalance, detail)
}
