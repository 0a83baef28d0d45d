package fleet

import "slices"

// HasTeams reports whether the configuration has teams.
func (c *Config) HasTeams() bool { return c.hasTeams }

// Ranks returns the number of distinct ranks of the requests that may reach a service, at least 1.
// The rank of a request is the priority of its team or, if that has none, of its route.
func (c *Config) Ranks(service string) int { return max(len(c.ranks[service]), 1) }

// RankOf returns the index of a request's rank among the ranks of a service: 0 is the most urgent
// and Ranks(service)-1 the least. t is nil for callers without a team.
func (c *Config) RankOf(service string, r *Route, t *Team) int {
	i, _ := slices.BinarySearch(c.ranks[service], priorityOf(r, t))
	return min(i, c.Ranks(service)-1)
}

func priorityOf(r *Route, t *Team) int {
	if t != nil && t.HasPriority {
		return t.Priority
	}
	return r.Priority
}

// indexRanks computes the sorted distinct ranks of each service.
func (c *Config) indexRanks(routes []*Route) {
	ofTeams, teamsWithout := c.ranksOfTeams()
	c.ranks = map[string][]int{}
	for _, r := range routes {
		ranks := ofTeams
		if teamsWithout || r.Public || !c.hasTeams {
			ranks = append(slices.Clone(ofTeams), r.Priority)
		}
		for _, s := range r.Shares {
			if s.Weight > 0 || len(r.Shares) == 1 {
				c.ranks[s.Service] = append(c.ranks[s.Service], ranks...)
			}
		}
	}
	for service, ranks := range c.ranks {
		slices.Sort(ranks)
		c.ranks[service] = slices.Compact(ranks)
	}
}

// ranksOfTeams returns the distinct priorities of teams, and whether any team has none.
func (c *Config) ranksOfTeams() (ranks []int, without bool) {
	for _, t := range c.teams {
		switch {
		case !t.HasPriority:
			without = true
		case !slices.Contains(ranks, t.Priority):
			ranks = append(ranks, t.Priority)
		}
	}
	return ranks, without
}
