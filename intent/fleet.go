// Package intent defines the fleet file, in which operators list the teams,
// services and weight sources of a fleet: its types, its strict parser, and the
// rules by which a process accepts published revisions of the file. The
// platform publishes a revision as a head, which describes it, and the parts
// that the file is split into. The accepted revision is the one in force.
//
// The package does no I/O and starts no goroutines. Validation depends only on the
// published bytes, so all processes accept or reject the same revisions.
package intent

import (
	"slices"
	"time"

	"github.com/springgate/springgate/digest"
)

// Format is the newest fleet file format that this release accepts. It is
// incremented only when one release could accept a file that another rejects.
const Format = 1

// Kind is the kind of targets, the HTTP servers that requests are forwarded to, of a
// service.
type Kind string

// Kinds of service.
const (
	Engine Kind = "engine" // model engines that load weights
	Plain  Kind = "plain"  // ordinary HTTP services
)

// Role is the phase of inference that an engine performs.
type Role string

// Roles of an engine.
const (
	Mixed   Role = "mixed"
	Prefill Role = "prefill"
	Decode  Role = "decode"
)

// Spread is what a weight transfer optimizes for.
type Spread string

// Goals of a weight transfer.
const (
	// SpreadTime minimizes the transfer time: hosts read from the origin
	// until their links are saturated.
	SpreadTime Spread = "time"
	// SpreadOriginBytes minimizes the bytes read from the origin: each chunk is
	// read from the origin about once by the whole fleet.
	SpreadOriginBytes Spread = "origin-bytes"
)

// SourceKind distinguishes weight stores from origins.
type SourceKind string

// Kinds of weight source.
const (
	Store  SourceKind = "store"  // rate-limited, read before the origin
	Origin SourceKind = "origin" // has every version of the weights
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

// Source is a server from which weights can be read.
type Source struct {
	Name string
	Kind SourceKind
	URL  string
}

// Team is a customer with a share of the fleet's capacity.
type Team struct {
	Name string
	// Weight is the team's share of the capacity of a target, relative to the
	// weights of the other teams.
	Weight int
	// Concurrency limits the team's running requests on one target; 0 is no limit.
	Concurrency int
	// Rate limits the team's requests per second on one target; 0 is no limit.
	Rate int
	// Priority is added to the request's urgency (RFC 9218); requests with a
	// lower sum are served first.
	Priority int
}

// Service is a set of targets that serve the same requests.
type Service struct {
	Name     string
	Kind     Kind
	Role     Role
	Hosts    []HostRef
	Model    Version
	Adapters []Version
	Spread   Spread
	// MaxUnavailable limits how many engines may be unavailable at once while
	// they switch versions.
	MaxUnavailable int
	// AffinityBytes is the length of the request body prefix that identifies a
	// conversation, whose requests are routed to one engine; 0 disables affinity.
	AffinityBytes int
	// Fenced is true if the engines reject load orders, the commands to load
	// weights, that carry an outdated fencing token.
	Fenced bool
	Limits Limits
}

// HostRef identifies a host of a service.
type HostRef struct {
	Name   string
	Domain string
}

// Version identifies a version of a model or adapter by the digest of its manifest,
// the list of its weight chunks.
type Version struct {
	Name     string
	Manifest digest.Digest
}

// Limits are the admission limits of one target.
type Limits struct {
	// Concurrency is the maximum number of requests that a target runs at once.
	Concurrency int
	// Queue is the maximum number of requests that wait at a target.
	Queue int
	// Timeout limits the duration of a request, measured from its arrival at the
	// entry.
	Timeout time.Duration
}

// Service returns the named service, or nil.
func (f *Fleet) Service(name string) *Service { return f.byService[name] }

// Team returns the named team, or nil.
func (f *Fleet) Team(name string) *Team { return f.byTeam[name] }

// ServiceOf returns the service that lists the named host, or nil.
func (f *Fleet) ServiceOf(host string) *Service { return f.byHost[host] }

// Versions returns the versions that an engine of the service must have loaded,
// the model first.
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
