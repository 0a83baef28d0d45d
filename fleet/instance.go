package fleet

import "time"

// ModelVersion is the weights of a model that an engine holds.
type ModelVersion struct {
	Model   string
	Version int
	Layers  int // how many layers are held
}

// Instance is one incarnation of a target.
type Instance struct {
	ID string
	// StartMs is the Unix time of its start in milliseconds; 0 if not known. A target
	// may start again under its ID: it then knows nothing of before.
	StartMs     int64
	Service  string
	Addr     string
	Domain   string
	Slots    int
	Revision int64 // of its entry in the list
	HeartbeatSeq     int64 // heartbeat that wrote the entry, counted from its start
	Draining bool
	Unlisted bool // its entry vanished from the list a moment ago
	// ColdFor is how long it stays cold after its entry was written, ColdUntil when it is
	// warm by the clock of this process.
	ColdFor   time.Duration
	ColdUntil time.Time
	Models    []ModelVersion
}

// SameIncarnation reports whether two accounts of a target may be of one life of it.
func SameIncarnation(born, other int64) bool { return born == other || born == 0 || other == 0 }

// LoadedVersion returns the version of m's model that the instance holds with all its
// layers, or zero.
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
