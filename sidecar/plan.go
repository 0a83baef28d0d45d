package sidecar

import (
	"slices"
	"time"

	"github.com/springgate/springgate/fleet"
)

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

// Action is what a sidecar does next.
type Action uint8

// Actions of a sidecar.
const (
	Rest  Action = iota // nothing to do
	Watch               // an order is in progress
	Stage               // pieces are missing at the engine
	Fetch               // an older version is staged; pieces of a newer one are kept in memory
	Await               // staged; its turn has not come
	Load                // staged, and its turn has come
)

// String returns the name of the action.
func (a Action) String() string {
	return [...]string{"rest", "watch", "stage", "fetch", "await", "load"}[a]
}

// Step is an action and the version that it is about; zero for Rest and Watch.
type Step struct {
	Action  Action
	Version int
}

// progress is what an agent has of one version.
type progress struct {
	version int
	whole   bool
	share   float64 // of the pieces
}

// holdings is what an agent has in all.
type holdings struct {
	staged  progress // at the engine
	fetched progress // in the agent's memory
	stalled int      // version of which a piece could not be had lately; 0 is none
}

// mostly is the share of a version's pieces from which on a piece that cannot be
// had is waited for: the rest comes sooner than all of another version.
const mostly = 0.5

// Plan decides the next step.
func (c Config) Plan(now time.Time, r Report, o order, h holdings) Step {
	serving := r.serves(o.Model, o.Layers)
	pending := o.pending(serving)
	switch {
	case o.Model == "" || len(pending) == 0:
		return Step{}
	case r.Busy:
		return Step{Action: Watch}
	}
	mayLoad := serving == 0 || !now.Before(c.turn(o, pending))
	newest := pending[len(pending)-1].version
	if h.staged.version == newest && h.staged.whole {
		return loadOr(mayLoad, newest, Step{Await, newest})
	}
	if h.fetched.version == newest && h.fetched.whole {
		return Step{Stage, newest}
	}
	older := olderGoal(pending, h)
	switch {
	case older == 0:
		return Step{Stage, newest}
	case h.staged.version == older && h.staged.whole:
		return loadOr(mayLoad, older, Step{Fetch, newest})
	}
	return Step{Stage, older}
}

func loadOr(mayLoad bool, version int, otherwise Step) Step {
	if mayLoad {
		return Step{Load, version}
	}
	return otherwise
}

// olderGoal returns the version before the newest that is to be staged or
// loaded first, or zero. One whose staging has begun is finished: the entries
// have its pieces, while the newest still has to come from the origin, which may
// go away. One change of version too many costs less than none in time.
// Otherwise it is the one before the newest while that cannot be had.
func olderGoal(pending []wanted, h holdings) int {
	newest := pending[len(pending)-1].version
	older := pending[:len(pending)-1]
	if len(older) == 0 {
		return 0
	}
	begun := slices.ContainsFunc(older, func(w wanted) bool { return w.version == h.staged.version })
	if begun && h.staged.share > 0 && h.stalled != h.staged.version {
		return h.staged.version
	}
	if h.stalled == newest && !(h.staged.version == newest && h.staged.share >= mostly) {
		return older[len(older)-1].version
	}
	return 0
}
