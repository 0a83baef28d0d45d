package fleet

import (
	"fmt"
	"slices"
)

// Ranks of requests: 0 is the most urgent, MaxRank the least.
const (
	MaxRank = 9
	// DefaultRank is the rank of routes that name none, or none that is usable. Engines treat
	// requests without a rank alike.
	DefaultRank = 5
)

// ValidRank reports whether n is a rank.
func ValidRank(n int) bool { return n >= 0 && n <= MaxRank }

// Fault is a value of a configuration that is not usable.
type Fault struct {
	Item    string // the route or team
	Problem string
	Default string // what applies instead
}

// String describes the fault in one line.
func (f Fault) String() string { return fmt.Sprintf("%s: %s; %s", f.Item, f.Problem, f.Default) }

// TeamKeys is a team and its API keys.
type TeamKeys struct {
	Team *Team
	Keys []string
}

// IndexTeams returns the teams by API key. A key that several teams list belongs to the first of
// them.
func IndexTeams(list []TeamKeys) (byKey map[string]*Team, faults []Fault) {
	byKey = make(map[string]*Team, len(list))
	for _, t := range list {
		item := "team " + t.Team.Name
		if len(t.Keys) == 0 {
			faults = append(faults, Fault{item, "no keys", "no caller belongs to it"})
		}
		for _, key := range t.Keys {
			switch owner := byKey[key]; {
			case owner == nil:
				byKey[key] = t.Team
			case owner != t.Team:
				faults = append(faults, Fault{item, "a key of it belongs to team " + owner.Name, "the key counts as that team's"})
			}
		}
	}
	return byKey, slices.Compact(faults)
}
