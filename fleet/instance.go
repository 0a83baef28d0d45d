package fleet

import "github.com/springgate/springgate/revision"

import "time"

// ModelVersion identifies the weights of a model that an engine holds. Its field names appear in
// log records that list an instance's models.
type ModelVersion struct {
	Model   string
	Version int
	Layers  int // number of layers held
}

// Instance is one incarnation (process start) of a target, as its entry in the instance list
// describes it.
type Instance struct {
	ID string
	// StartMs is its start time in Unix milliseconds; 0 if unknown. A target may restart under
	// the same ID and then has none of its earlier state.
	StartMs      int64
	Service      string
	Addr         string
	Domain       string
	Slots        int
	Revision     revision.Revision // of its list entry
	HeartbeatSeq int64             // sequence number of the heartbeat that wrote the list entry, counted from the instance's start
	Draining     bool
	Unlisted     bool // its list entry disappeared recently
	// ColdFor is how long the instance stays cold after its list entry was written: it then
	// sustains only the service's ColdRate. ColdUntil is when that ends by this process's clock.
	ColdFor   time.Duration
	ColdUntil time.Time
	Models    []ModelVersion
}

// SameIncarnation reports whether two start times may be of the same incarnation of a target.
func SameIncarnation(startMs, other int64) bool {
	return startMs == other || startMs == 0 || other == 0
}

// NewerThan reports whether an instance replaces another one at its address: whether it started
// later or, if the starts are not known, was listed later. A list that is restored from an older
// copy lists earlier instances later.
func (i *Instance) NewerThan(o *Instance) bool {
	if !SameIncarnation(i.StartMs, o.StartMs) {
		return i.StartMs > o.StartMs
	}
	return i.Revision > o.Revision
}

// LoadedVersion returns the newest version of m's model of which the instance holds all layers,
// or zero.
func (i *Instance) LoadedVersion(m *EngineModel) int {
	best := 0
	for _, v := range i.Models {
		if v.Model == m.Model && v.Layers >= m.Layers && v.Version > best {
			best = v.Version
		}
	}
	return best
}

// VersionTarget is the version of a model that the operators want served.
type VersionTarget struct {
	Model   string
	Version int
}
