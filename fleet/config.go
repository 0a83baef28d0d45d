// Package fleet holds the operators' intent as the request path uses it:
// routes, services, teams, the engines' cost model, and the running instances
// of targets. It is pure data with lookups; adapters decode into it.
package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// RouteKind says what may be repeated on a route.
type RouteKind uint8

// Kinds of routes.
const (
	Unsafe    RouteKind = iota // at most one run for each attempt of a caller
	Safe                       // idempotent
	Streaming                  // an event stream; idempotent only if resumable
)

// String returns the name of the kind.
func (k RouteKind) String() string {
	return [...]string{"unsafe", "safe", "streaming"}[k]
}

// Share is one service of a split route and its weight.
type Share struct {
	Service string
	Weight  int
}

// Route maps a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   RouteKind
	Shares []Share // one entry unless the route is split

	Timeout     time.Duration // a final answer is due by then
	Objective   time.Duration // full credit up to this latency
	MaxGap      time.Duration // longest pause between events that is on time
	Priority    int           // 0 is the most urgent
	MaxAttempts int           // targets that one request may be sent to
	Public      bool          // no API key is needed
	Resumable   bool          // a stream may go on at another target
	HomeRegions       []string      // regions whose targets may run it; none is any
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// EngineModel is the cost model of a model engine, as its operators publish
// it. All times are for all layers.
type EngineModel struct {
	Model        string
	Slots        int           // requests that are decoded together
	Step         time.Duration // one token for an empty batch
	StepPerSeq   time.Duration // added for each sequence in the batch
	StepPer1kTokens  time.Duration // added for each 1,000 tokens of context
	PrefillRate  float64       // prompt tokens read a second
	StepsPerPass       int           // decode steps of one pass
	MeanPrompt   int           // tokens
	MeanAnswer   int           // tokens
	Layers       int
	Chunks       int // pieces of the weights
	ChunkBytes   int
	LoadDuration time.Duration // from a load order to serving, when idle
}

// Origin is where weights come from.
type Origin struct {
	Addr     string
	Domain   string // failure domain it stands in
	MaxConns int    // connections that it accepts from all callers together; 0 if not known
}

// Service is a set of equal targets.
type Service struct {
	Name     string
	MaxConns int          // connections that one target accepts in all
	Engine   *EngineModel // nil for plain services
	Origin   *Origin      // set if the service is the origin of weights
	ColdRate float64      // requests a second that a cold target bears; 0 for any number
}

// Team is a paying group of callers.
type Team struct {
	Name        string
	Priority    int
	HasPriority bool     // the team's priority goes before the route's
	HomeRegions       []string // regions whose targets may run its requests; none is any
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operators' configuration.
type Config struct {
	Version  int64
	Services map[string]*Service
	Limits   Limits

	hasTeams bool
	teams    map[string]*Team    // by API key
	routes   map[string][]*Route // by host, longest prefix first
}

// NewConfig indexes routes and the teams of API keys. teams is nil if the
// configuration knows no teams.
func NewConfig(version int64, routes []*Route, services []*Service, teams map[string]*Team, limits Limits) *Config {
	c := &Config{Version: version, Limits: limits, hasTeams: teams != nil, teams: teams,
		Services: map[string]*Service{}, routes: map[string][]*Route{}}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		c.routes[r.Host] = append(c.routes[r.Host], r)
	}
	for _, rs := range c.routes {
		slices.SortStableFunc(rs, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// Match returns the route with the longest prefix of path, or nil.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Authorize returns the team that holds key. The team is nil where none is
// needed; ok is false if the key is required and unknown.
func (c *Config) Authorize(r *Route, key string) (team *Team, ok bool) {
	if t := c.teams[key]; t != nil {
		return t, true
	}
	return nil, r.Public || !c.hasTeams
}

// FirstOrigin returns the first origin of weights, or nil.
func (c *Config) FirstOrigin() *Origin {
	var first *Service
	for _, s := range c.Services {
		if s.Origin != nil && (first == nil || s.Name < first.Name) {
			first = s
		}
	}
	if first == nil {
		return nil
	}
	return first.Origin
}
