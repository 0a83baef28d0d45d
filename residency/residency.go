// Package residency decides which failure domains may run a request: those in the home regions
// of its route and of its team, unless operators have evacuated the domain. The package does no
// I/O. Only entries in the mode of `springgate gateway` use it.
package residency

import "slices"

// HomeRegions are the regions in which a request may run, by its route and by its team. A region
// must be allowed by both lists; an empty list allows all regions.
type HomeRegions struct {
	Route, Team []string
}

// allow reports whether a request with these home regions may run in a region.
func (h HomeRegions) allow(region string) bool {
	return allowedBy(h.Route, region) && allowedBy(h.Team, region)
}

func allowedBy(homes []string, region string) bool {
	return len(homes) == 0 || slices.Contains(homes, region)
}

// Policy holds the regions and evacuations of failure domains at one revision of the store in
// which operators set evacuations. It is immutable; a nil Policy has no regions and no
// evacuations.
type Policy struct {
	regions   map[string]string // by failure domain
	evacuated map[string]bool   // by failure domain
}

// New returns a policy for the given regions by failure domain and evacuated failure domains.
func New(regions map[string]string, evacuated []string) *Policy {
	p := &Policy{regions: regions, evacuated: make(map[string]bool, len(evacuated))}
	for _, d := range evacuated {
		p.evacuated[d] = true
	}
	return p
}

// Evacuated reports whether a failure domain accepts no requests, whatever their home regions.
func (p *Policy) Evacuated(domain string) bool { return p != nil && p.evacuated[domain] }

// Allows reports whether a request with the given home regions may be sent to a failure domain.
// A domain without a known region is in no home region.
func (p *Policy) Allows(domain string, h HomeRegions) bool {
	if p == nil {
		return h.allow("")
	}
	return !p.evacuated[domain] && h.allow(p.regions[domain])
}
