package sidecar

import (
	"time"

	"github.com/springgate/springgate/fleet"
)

// LayerRange is a range of a model's layers; To is exclusive.
type LayerRange struct{ From, To int }

func (l LayerRange) overlaps(o LayerRange) bool { return max(l.From, o.From) < min(l.To, o.To) }

// held are the layers of one version that an engine holds; the zero value is none.
type held struct {
	version int
	layers  LayerRange
}

// keepsLayersOf reports whether some layers may be the same loaded ones as before.
func (h held) keepsLayersOf(before held) bool {
	return h.version == before.version && h.layers.overlaps(before.layers)
}

// loadProof tracks whether the layers that the engine holds were loaded from valid pieces. An
// engine loads what is staged at the moment when it accepts an order. Checks before that moment
// prove nothing: a delayed put may replace a piece after its check, the agent may be paused before it
// sends the order, and the order may reach the next process of the engine, which has begun as many orders as
// the one that it was based on. So the staged pieces are read back after a load has begun.
// They are valid then only if they were valid when the load began, unless a piece was put since the
// last report without the load. An engine whose load is not proven is reported to hold no version.
type loadProof struct {
	model       string    // "" until the first report
	inherited   bool      // the loads are those of a previous agent, which is taken to have examined them
	startTimeMs int64     // of the engine process
	sequence    int64     // Report.Sequence up to which the loads have been examined
	asOf        time.Time // when the last report before the next load was requested
	staged      int       // version whose pieces were all valid after the last of these had begun; 0 if none
	due         bool      // a load has begun that has not been examined
	examined    bool      // a load has been examined that may not have ended yet
	skipped     bool      // a load began before the one before it was seen to have ended
	held        held      // after the last load that has ended
	unsound     bool      // some of the held layers are not proven
	dropOrdered bool      // the engine has been ordered once to drop the held layers
	attempts    int       // reads of the staged pieces that were not answered
}

// observe updates the proof from a report that was requested at the given time. It reports whether a
// load is to be examined.
func (p *loadProof) observe(requested time.Time, r Report, as assignmentState) bool {
	h := r.held(as.Model)
	switch {
	case p.model != as.Model:
		p.trust(r, as, h)
	case !fleet.SameIncarnation(p.startTimeMs, r.StartTimeMs) || r.Sequence < p.sequence:
		*p = loadProof{model: as.Model, startTimeMs: r.StartTimeMs, asOf: p.asOf} // an engine holds no layers when it starts
	}
	if as.unproven && p.inherited {
		p.due, p.inherited, p.held = true, false, held{}
	}
	p.due = p.due || p.hasBegun(r, h)
	if !p.due {
		p.asOf = requested
		return false
	}
	p.skipped = p.skipped || p.examined || r.Sequence > p.sequence+1
	return true
}

// hasBegun reports whether a load has begun since the last report. A load that the sequence does not
// show is one of an engine that does not count orders, or of a next process of the engine that has
// begun as many and does not report its start time.
func (p *loadProof) hasBegun(r Report, h held) bool {
	switch {
	case r.Sequence != p.sequence:
		return true
	case p.examined:
		return false
	}
	return r.Busy || h.version != 0 && h != p.held
}

// trust assumes that the loads of a previous agent are proven, except for one that is in progress.
// An engine holds only some of the layers while a previous agent has bad ones replaced.
func (p *loadProof) trust(r Report, as assignmentState, h held) {
	partial := h.version != 0 && r.serves(as.Model, as.Layers) == 0
	*p = loadProof{model: as.Model, inherited: true, startTimeMs: r.StartTimeMs, sequence: r.Sequence, held: h, unsound: partial}
	if !r.Busy {
		return
	}
	p.sequence = r.Sequence - 1
	if !partial {
		p.held = held{}
	}
}

// record records the result of examining the last load that began. staged is the version whose
// pieces were all valid, or 0.
func (p *loadProof) record(r Report, staged int) {
	p.sequence, p.staged, p.attempts = r.Sequence, staged, 0
	p.inherited, p.due, p.examined, p.dropOrdered = false, false, true, false
}

// conclude updates the proof when no load is in progress any more.
func (p *loadProof) conclude(h held) {
	switch {
	case p.examined:
		kept := h.keepsLayersOf(p.held)
		proven := p.staged != 0 && p.staged == h.version && !p.skipped
		p.unsound = h.version != 0 && (!proven || kept && p.unsound)
		p.examined, p.skipped = false, false
	case h.version == 0:
		p.unsound = false
	}
	p.held = h
}

// nextLayers returns the layers to be ordered next for an engine to hold a version, or the
// zero value for all of them. An engine keeps the layers that it holds of the ordered version. To
// replace all of them, the first layer is ordered, which drops the others, and then the others,
// which drops the first.
func (p *loadProof) nextLayers(version, layers int) LayerRange {
	first := LayerRange{0, 1}
	switch {
	case p.held.version != version || layers < 2:
		return LayerRange{}
	case p.held.layers == first:
		return LayerRange{1, layers}
	case p.unsound:
		return first
	}
	return LayerRange{}
}

// toBeDropped reports whether the engine holds all layers of a version, is idle and has not been
// ordered yet to drop those that are not proven.
func (p *loadProof) toBeDropped(r Report, layers int) bool {
	return p.unsound && !p.dropOrdered && !r.Busy && layers >= 2 && p.held.layers == LayerRange{0, layers}
}

// stuck reports whether the engine cannot load a version, since it holds layers of the version that
// are not proven and cannot be dropped.
func (p *loadProof) stuck(version, layers int) bool {
	return p.unsound && p.held.version == version && layers < 2
}
