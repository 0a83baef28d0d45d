package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Table is an immutable set of candidates of one service.
type Table struct {
	cfg    Config
	local  []Candidate // in the entry's failure domain
	remote []Candidate // in other failure domains
}

// NewTable returns a table for an entry in the given failure domain. Hosts
// that are leaving or not ready are left out.
func NewTable(cfg Config, domain string, cands []Candidate) *Table {
	t := &Table{cfg: cfg.ApplyDefaults()}
	for _, c := range cands {
		if !c.Report.Ready || c.Report.Leaving {
			continue
		}
		if c.Endpoint.Domain == domain {
			t.local = append(t.local, c)
		} else {
			t.remote = append(t.remote, c)
		}
	}
	return t
}

// Len returns how many candidates the table holds.
func (t *Table) Len() int { return len(t.local) + len(t.remote) }

// maxDraws is how many random draws may hit an excluded host or one with a stale
// report before all hosts are scanned.
const maxDraws = 4

// Pick returns the host for a request, or nil if none is usable. Two random
// hosts of the entry's failure domain are compared by load; if the load of the
// less loaded one is above SpillThreshold, it is compared with the less loaded
// of two random hosts of other domains. The cost does not grow with the table
// unless few hosts are usable.
func (t *Table) Pick(now time.Time, rng *rand.Rand, exclude []string) *Candidate {
	best, load := t.pickFrom(t.local, now, rng, exclude)
	if best != nil && load <= t.cfg.SpillThreshold {
		return best
	}
	other, otherLoad := t.pickFrom(t.remote, now, rng, exclude)
	if best == nil || other != nil && otherLoad < load {
		return other
	}
	return best
}

func (t *Table) pickFrom(cands []Candidate, now time.Time, rng *rand.Rand, exclude []string) (*Candidate, float64) {
	if len(cands) == 0 {
		return nil, math.Inf(1)
	}
	a := t.draw(cands, now, rng, exclude)
	if a == nil {
		return nil, math.Inf(1)
	}
	load := t.load(a, now)
	b := t.draw(cands, now, rng, exclude)
	if bl := t.load(b, now); bl < load {
		return b, bl
	}
	return a, load
}

func (t *Table) draw(cands []Candidate, now time.Time, rng *rand.Rand, exclude []string) *Candidate {
	for range maxDraws {
		if c := &cands[rng.IntN(len(cands))]; t.usable(c, now, exclude) {
			return c
		}
	}
	from := rng.IntN(len(cands))
	for i := range cands {
		if c := &cands[(from+i)%len(cands)]; t.usable(c, now, exclude) {
			return c
		}
	}
	return nil
}

func (t *Table) usable(c *Candidate, now time.Time, exclude []string) bool {
	return now.Sub(c.Report.At) <= t.cfg.ReportMaxAge && !slices.Contains(exclude, c.Endpoint.Host)
}

// load estimates the number of requests per slot at a host, including the
// request to be sent. It adds this entry's own requests, which are known
// exactly, and the requests of other entries in the host's last report, whose
// weight decays with the age of the report. A host in slow start counts with
// fewer slots.
func (t *Table) load(c *Candidate, now time.Time) float64 {
	r := &c.Report
	others := float64(r.Running+r.Queued) - float64(r.OwnInflight)
	if others > 0 {
		others *= math.Exp2(-float64(now.Sub(r.At)) / float64(t.cfg.ReportHalfLife))
	} else {
		others = 0
	}
	slots := float64(max(1, r.Slots)) * t.ramp(now.Sub(r.ReadySince))
	return (float64(c.Endpoint.Inflight()) + others + 1) / slots
}

// minRamp is the fraction of its slots with which a target begins slow start.
const minRamp = 0.1

func (t *Table) ramp(ready time.Duration) float64 {
	if ready >= t.cfg.SlowStart {
		return 1
	}
	return max(minRamp, float64(ready)/float64(t.cfg.SlowStart))
}
