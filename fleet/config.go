// Package fleet holds the operators' configuration as the request path uses it: routes,
// services, teams, the engines' cost model, and the running instances of targets. It consists
// of types and lookups; other packages decode the stored configuration into these types.
package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// RouteKind determines which requests of a route may be repeated.
type RouteKind uint8

// Kinds of routes.
const (
	Unsafe    RouteKind = iota // at most one execution per attempt of a caller
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

	Timeout     time.Duration // until the complete response
	Objective   time.Duration // latency of the first event or response that counts as in time
	MaxGap      time.Duration // longest gap between events that counts as in time
	Priority    int           // 0 is the highest
	MaxAttempts int           // targets that one request may be sent to
	Public      bool          // no API key is required
	Resumable   bool          // a stream may be resumed at another target
	HomeRegions []string      // regions whose targets may run its requests; empty for all
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// EngineModel is the cost model of a model engine, as published by its operators. All times are
// for all layers of the model.
type EngineModel struct {
	Model           string
	Slots           int           // requests decoded concurrently
	Step            time.Duration // decode step with an empty batch
	StepPerSeq      time.Duration // added for each sequence in the batch
	StepPer1kTokens time.Duration // added for each 1,000 tokens of context
	PrefillRate     float64       // prompt tokens per second
	StepsPerPass    int           // decode steps that the engine runs as one pass, without preemption
	MeanPrompt      int           // tokens
	MeanAnswer      int           // tokens
	Layers          int
	Chunks          int // number of pieces that the weights are split into
	ChunkBytes      int
	LoadDuration    time.Duration // from the load order to serving, on an idle engine
}

// Origin is the origin server of model weights, from which agents fetch them.
type Origin struct {
	Addr     string
	Domain   string // failure domain of the origin
	MaxConns int    // connections accepted from all callers together; 0 if unknown
}

// Service is a set of interchangeable targets.
type Service struct {
	Name     string
	MaxConns int          // connections that one target accepts in total
	Engine   *EngineModel // nil for plain services
	Origin   *Origin      // set if the service is the origin of weights
	ColdRate float64      // requests per second that a target can sustain while it is cold (see Instance.ColdFor); 0 for no limit
}

// Team is a paying group of callers.
type Team struct {
	Name        string
	Priority    int
	HasPriority bool     // the team's priority takes precedence over the route's
	HomeRegions []string // regions whose targets may run its requests; empty for all
}

// Limits bound the requests of callers.
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
	Faults   []Fault // values that are not usable; the defaults that they name apply

	hasTeams bool
	teams    map[string]*Team    // by API key
	routes   map[string][]*Route // by host, longest prefix first
	ranks    map[string][]int    // sorted distinct ranks of requests, by service
}

// NewConfig indexes routes and teams. teams is keyed by API key and nil if the configuration
// has no teams.
func NewConfig(version int64, routes []*Route, services []*Service, teams map[string]*Team, limits Limits) *Config {
	c := &Config{Version: version, Limits: limits, hasTeams: teams != nil, teams: teams,
		Services: map[string]*Service{}, routes: map[string][]*Route{}}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		c.routes[r.Host] = append(c.routes[r.Host], r)
	}
	c.indexRanks(routes)
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

// Authorize returns the team with the given API key. The team is nil if the route needs none;
// ok is false if a key is required and key is unknown.
func (c *Config) Authorize(r *Route, key string) (team *Team, ok bool) {
	if t := c.teams[key]; t != nil {
		return t, true
	}
	return nil, r.Public || !c.hasTeams
}

// PieceCount returns the number of pieces that a model's weights are split into, or 0 if no service
// has the model.
func (c *Config) PieceCount(model string) int {
	for _, s := range c.Services {
		if s.Engine != nil && s.Engine.Model == model {
			return s.Engine.Chunks
		}
	}
	return 0
}

// FirstOrigin returns the origin of weights whose service name sorts first, or nil.
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
