package balance

import (
	"slices"
	"strings"
)

// Within returns the choice among the endpoints whose region is in each of the lists; an empty list allows any
// region. If there is none, the stable version stands in, and without one there the result is nil.
func (c *Choice) Within(lists ...[]string) *Choice {
	if c == nil || !restricts(lists) {
		return c
	}
	stable := c.Stable.Within(lists...)
	group := c.Group.within(lists)
	if group.Size() == 0 {
		return stable
	}
	return &Choice{Version: c.Version, Group: group, Stable: stable}
}

func restricts(lists [][]string) bool {
	return slices.ContainsFunc(lists, func(list []string) bool { return len(list) > 0 })
}

// within returns the part of the group in the regions. It is kept for further requests, so that it is built once
// for each pair of lists and member list.
func (g *Group) within(lists [][]string) *Group {
	var key strings.Builder
	for _, list := range lists {
		key.WriteString(strings.Join(list, "\x00"))
		key.WriteString("\x01")
	}
	if part, ok := g.regions.Load(key.String()); ok {
		return part.(*Group)
	}
	part := &Group{}
	for tier, endpoints := range g.tiers {
		for _, endpoint := range endpoints {
			if allowed(endpoint.Region, lists) {
				part.tiers[tier] = append(part.tiers[tier], endpoint)
				part.size++
			}
		}
	}
	g.regions.Store(key.String(), part)
	return part
}

func allowed(region string, lists [][]string) bool {
	for _, list := range lists {
		if len(list) > 0 && !slices.Contains(list, region) {
			return false
		}
	}
	return true
}
