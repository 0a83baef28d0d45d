package spread

import "time"

// Constants of the time allowed for a fetch.
const (
	typicalWeight  = 0.1 // of a new sample
	patienceOver   = 4   // times the typical fetch
	maxPatience    = 16  // times the least time
	sourcePatience = 6   // times FetchTimeout: many hosts wait in a source's queue
)

// patience is the time allowed for a fetch from one kind of source. It follows
// what fetches take: on a slow or shared link a chunk waits long behind others
// without anything being wrong.
type patience struct {
	least   time.Duration
	typical time.Duration
	allowed time.Duration
}

func newPatience(k SourceKind, least time.Duration) patience {
	if k != FromPeer {
		least *= sourcePatience
	}
	return patience{least: least, allowed: least}
}

// learn takes the time of a fetch that succeeded.
func (p *patience) learn(took time.Duration) {
	if p.typical == 0 {
		p.typical = took
	}
	p.typical += time.Duration(typicalWeight * float64(took-p.typical))
	p.allowed = min(max(p.least, patienceOver*p.typical), maxPatience*p.least)
}

// exhausted notes that fetches were given up.
func (p *patience) exhausted() { p.allowed = min(2*p.allowed, maxPatience*p.least) }
