// Package intent holds the operators' fleet file: its types, its strict
// parser, and the rules by which a process accepts published revisions. It
// has no I/O and no goroutines; every process comes to the same verdict from
// the same bytes.
package intent

import (
	"slices"
	"time"

	"github.com/springgate/springgate/digest"
)

// Format is the newest fleet file format that this release accepts. It is
// raised only when a file could be accepted by one release and not by another.
const Format = 1

// Kind is the kind of targets behind a service.
type Kind string

// Kinds of service.
const (
	Engine Kind = "engine" // model engines that load weights
	Plain  Kind = "plain"  // ordinary HTTP services
)

// Role is what an engine does with requests.
type Role string

// Roles of an engine.
const (
	Mixed   Role = "mixed"
	Prefill Role = "prefill"
	Decode  Role = "decode"
)

// Spread is the goal of a weight transfer.
type Spread string

// Goals of a weight transfer.
const (
	// SpreadTime reads from the origin until the host's link is busy.
	SpreadTime Spread = "time"
	// SpreadOriginBytes reads each chunk from the origin about once.
	SpreadOriginBytes Spread = "origin-bytes"
)

// SourceKind tells a weight store from an origin.
type SourceKind string

// Kinds of weight source.
const (
	Store  SourceKind = "store"  // rate-limited, asked first
	Origin SourceKind = "origin" // has every version
)

// Fleet is a validated fleet file.
type Fleet struct {
	Format   int
	Name     string
	Sources  []Source
	Teams    []Team
	Services []Service

	byService map[string]*Service
	byTeam    map[string]*Team
	byHost    map[string]*Service
}

// Source is where weights can be read.
type Source struct {
	Name string
	Kind SourceKind
	URL  string
}

// Team is a customer with a share of the fleet.
type Team struct {
	Name string
	// Weight is the team's share relative to the other teams.
	Weight int
	// Concurrency bounds the team's running requests on one target; 0 is none.
	Concurrency int
	// Rate bounds the team's requests a second on one target; 0 is none.
	Rate int
	// Priority is added to the urgency of RFC 9218; a lower sum goes first.
	Priority int
}

// Service is a set of targets that answer the same requests.
type Service struct {
	Name     string
	Kind     Kind
	Role     Role
	Hosts    []HostRef
	Model    Version
	Adapters []Version
	Spread   Spread
	// MaxUnavailable bounds the engines that are out for a switch at once.
	MaxUnavailable int
	// AffinityBytes is how much of the start of a request body names a
	// conversation, whose requests then go to one engine; 0 is no affinity.
	AffinityBytes int
	// Fenced is true if the engines refuse orders with an old fencing number.
	Fenced bool
	Limits Limits
}

// HostRef names one host of a service.
type HostRef struct {
	Name   string
	Domain string
}

// Version names a model or adapter version by its manifest.
type Version struct {
	Name     string
	Manifest digest.Digest
}

// Limits bound the work of one target.
type Limits struct {
	// Concurrency is how many requests a target runs at once.
	Concurrency int
	// Queue is how many requests may wait at a target.
	Queue int
	// Timeout bounds a request from its arrival at the entry.
	Timeout time.Duration
}

// Service returns the named service, or nil.
func (f *Fleet) Service(name string) *Service { return f.byService[name] }

// Team returns the named team, or nil.
func (f *Fleet) Team(name string) *Team { return f.byTeam[name] }

// ServiceOf returns the service of the named host, or nil.
func (f *Fleet) ServiceOf(host string) *Service { return f.byHost[host] }

// Versions returns the versions that an engine of the service must hold, the
// model first.
func (s *Service) Versions() []Version {
	if s.Kind != Engine {
		return nil
	}
	return append([]Version{s.Model}, s.Adapters...)
}

func (f *Fleet) index() {
	f.byService = make(map[string]*Service, len(f.Services))
	f.byTeam = make(map[string]*Team, len(f.Teams))
	f.byHost = map[string]*Service{}
	for i := range f.Teams {
		f.byTeam[f.Teams[i].Name] = &f.Teams[i]
	}
	for i := range f.Services {
		s := &f.Services[i]
		f.byService[s.Name] = s
		for _, h := range s.Hosts {
			f.byHost[h.Name] = s
		}
	}
}

// HostNames returns the names of the service's hosts.
func (s *Service) HostNames() []string {
	out := make([]string, len(s.Hosts))
	for i, h := range s.Hosts {
		out[i] = h.Name
	}
	return out
}

// SameHosts reports whether two services have the same hosts in the same
// order.
func (s *Service) SameHosts(o *Service) bool { return slices.Equal(s.Hosts, o.Hosts) }
