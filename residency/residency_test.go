package residency

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestAllows(t *testing.T) {
	regions := map[string]string{"a": "north", "b": "north", "c": "south"}
	north, south := []string{"north"}, []string{"south"}
	for name, c := range map[string]struct {
		evacuated []string
		homes     HomeRegions
		want      string // those of the domains a, b, c and x that may run the request
	}{
		"anywhere":                        {nil, HomeRegions{}, "abcx"},
		"home of the route":               {nil, HomeRegions{Route: north}, "ab"},
		"home of the team":                {nil, HomeRegions{Team: south}, "c"},
		"route and team both restrict":    {nil, HomeRegions{Route: []string{"north", "south"}, Team: south}, "c"},
		"no common region":                {nil, HomeRegions{Route: north, Team: south}, ""},
		"unknown home region":             {nil, HomeRegions{Route: []string{"east"}}, ""},
		"evacuated":                       {[]string{"a"}, HomeRegions{}, "bcx"},
		"evacuated home":                  {[]string{"c"}, HomeRegions{Team: south}, ""},
		"evacuation of an unknown domain": {[]string{"nowhere"}, HomeRegions{}, "abcx"},
		"evacuated, another home left":    {[]string{"a"}, HomeRegions{Route: north}, "b"},
	} {
		p, got := New(regions, c.evacuated), ""
		for _, d := range []string{"a", "b", "c", "x"} {
			if p.Allows(d, c.homes) {
				got += d
			}
		}
		assert.Equal(t, got, c.want, name)
	}
}

// Without a policy no region is known, so a request with home regions may not run anywhere.
func TestNilPolicy(t *testing.T) {
	var p *Policy
	assert.Assert(t, p.Allows("a", HomeRegions{}))
	assert.Assert(t, !p.Allows("a", HomeRegions{Route: []string{"north"}}))
	assert.Assert(t, !p.Evacuated("a"))
}
