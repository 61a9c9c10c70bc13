package controller

import "sassafrasnotch.example/coord/gossip"

// serving returns the members outside evacuated zones: the others carry no requests, so that a rollout must not
// rely on them.
func (c *Config) serving() []gossip.Member {
	members := c.Members.Members()
	if c.Evacuated == nil {
		return members
	}
	serving := make([]gossip.Member, 0, len(members))
	for i := range members {
		if !c.Evacuated(members[i].Zone) {
			serving = append(serving, members[i])
		}
	}
	return serving
}
