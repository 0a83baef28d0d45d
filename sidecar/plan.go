// Package sidecar is the agent on a host where callers' requests go straight
// to the engine: it stages the weights that the engine is to serve, orders the
// engine to load them when it is its turn, and tells the entries what the
// engine serves.
package sidecar

import (
	"cmp"
	"time"

	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/peer"
)

// Config holds the times of a sidecar.
type Config struct {
	// Poll is the time between two reads of the engine's report while nothing
	// is to be done; PollBusy while an order or a change is in progress, and
	// PollDown while the engine does not answer. Defaults 400 ms, 40 ms and
	// 100 ms.
	Poll, PollBusy, PollDown time.Duration
	// FirstStart is true when the whole fleet starts for the first time: its
	// engines hold weights already.
	FirstStart bool
	// Lead is when the first engine's turn comes after an announcement. It is
	// what staging takes at the least: two links of 2 s each, overlapping.
	// Default 2.5 s.
	Lead time.Duration
	// Margin is how long before the end of the time allowed the last turn
	// comes. Default 1.3 s: entries stop using older versions 0.7 s before
	// the end.
	Margin time.Duration
	// Fetches is how many pieces are fetched at once for an engine that does
	// not serve yet, and FetchesServing for one that does: live requests share
	// the link. Defaults 3 and 1.
	Fetches, FetchesServing int
	// FetchTimeout bounds one piece. Default 6 s.
	FetchTimeout time.Duration
	// CallTimeout bounds a call to the engine. Default 2 s.
	CallTimeout time.Duration
	// VerifyAge is how old the check of staged pieces may be when the load is
	// ordered, because staged bytes may go bad. Default 1 s.
	VerifyAge time.Duration
}

func (c Config) applyDefaults() Config {
	c.Poll = cmp.Or(c.Poll, 400*time.Millisecond)
	c.PollBusy = cmp.Or(c.PollBusy, 40*time.Millisecond)
	c.PollDown = cmp.Or(c.PollDown, 100*time.Millisecond)
	c.Lead = cmp.Or(c.Lead, 2500*time.Millisecond)
	c.Margin = cmp.Or(c.Margin, 1300*time.Millisecond)
	c.Fetches = cmp.Or(c.Fetches, 3)
	c.FetchesServing = cmp.Or(c.FetchesServing, 1)
	c.FetchTimeout = cmp.Or(c.FetchTimeout, 6*time.Second)
	c.CallTimeout = cmp.Or(c.CallTimeout, 2*time.Second)
	c.VerifyAge = cmp.Or(c.VerifyAge, time.Second)
	return c
}

// Report is an engine's account of itself.
type Report struct {
	Models  []fleet.ModelVersion
	Busy    bool // an order is in progress
	Running int
	Waiting int
}

// serves returns the version that the engine holds whole, or zero.
func (r Report) serves(model string, layers int) int {
	i := fleet.Instance{Models: r.Models}
	return i.Holds(&fleet.EngineModel{Model: model, Layers: layers})
}

// Step is what a sidecar does next.
type Step uint8

// Steps of a sidecar.
const (
	Rest  Step = iota // nothing to do
	Watch             // an order is in progress
	Stage             // pieces are missing
	Await             // staged; its turn has not come
	Load              // staged, and its turn has come
)

// String returns the name of the step.
func (s Step) String() string { return [...]string{"rest", "watch", "stage", "await", "load"}[s] }

// Plan decides the next step. announced is when the assigned version was
// announced, in this process's clock.
func (c Config) Plan(now time.Time, r Report, a peer.Assignment, announced time.Time, staged bool) Step {
	serving := r.serves(a.Model, a.Layers)
	switch {
	case a.Model == "" || serving >= a.Version:
		return Rest
	case r.Busy:
		return Watch
	case !staged:
		return Stage
	case serving > 0 && now.Before(announced.Add(c.turnAt(a))):
		return Await
	}
	return Load
}

// turnAt returns how long after the announcement the engine's turn comes. The
// turns of all engines are spread evenly over the time that is allowed, so
// that as few as possible are out of service at once.
func (c Config) turnAt(a peer.Assignment) time.Duration {
	window := time.Duration(a.TimeoutMs)*time.Millisecond - c.Lead - c.Margin
	if a.Turns <= 1 || window <= 0 {
		return 0
	}
	return c.Lead + window*time.Duration(a.Turn)/time.Duration(a.Turns-1)
}
