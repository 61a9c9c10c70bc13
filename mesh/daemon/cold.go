package daemon

import "sassafrasnotch.example/mesh/exit"

// coldPolicies provides what the configuration in force states of cold targets.
type coldPolicies struct{ configuration configuration }

func (c coldPolicies) policy(service string) exit.ColdPolicy {
	snapshot := c.configuration.Snapshot()
	if snapshot == nil {
		return exit.ColdPolicy{}
	}
	policy := exit.ColdPolicy{Known: true}
	if s, ok := snapshot.Service(service); ok {
		policy.Rate, policy.Duration = s.ColdRate, s.ColdDuration.Std()
	}
	return policy
}
