package spread

import "time"

// maxRetryShift bounds the doubling of a source's retry wait.
const maxRetryShift = 5

// source is the store or the origin as this host sees it.
type source struct {
	known    bool
	inflight int
	failures int
	blocked  time.Time
}

func (s *source) worked() { s.failures = 0 }

// openSource returns the source to read from now: the store while it is
// known to have the version and is not blocked, else the origin.
func (p *Planner) openSource(now time.Time) (SourceKind, bool) {
	for _, k := range []SourceKind{FromStore, FromOrigin} {
		s := &p.sources[k]
		if !s.known {
			continue
		}
		if now.Before(s.blocked) {
			if k == FromStore && s.failures == 0 {
				return 0, false // limited, not broken: wait for it
			}
			continue
		}
		return k, s.inflight < p.perSource()
	}
	return 0, false
}

// sourceWorks reports whether a source may be read now or will be soon.
func (p *Planner) sourceWorks(now time.Time) bool {
	for _, k := range []SourceKind{FromStore, FromOrigin} {
		if s := &p.sources[k]; s.known && (s.failures == 0 || !now.Before(s.blocked)) {
			return true
		}
	}
	return false
}

// sourceFailed notes a failure. A store without the version is not asked
// again. A limit is obeyed for the time asked and a random part more, so that
// hosts told to wait together do not return together.
func (p *Planner) sourceFailed(now time.Time, k SourceKind, fault Fault, wait time.Duration) {
	s := &p.sources[k]
	if fault == FaultMissing && k == FromStore {
		s.known = false
		return
	}
	if fault == FaultRateLimited {
		s.failures = 0
		s.blocked = now.Add(wait + time.Duration(p.rng.Int64N(int64(wait)+1)))
		return
	}
	base := p.cfg.SourceBackoff << min(s.failures, maxRetryShift)
	s.failures++
	s.blocked = now.Add(base/2 + time.Duration(p.rng.Int64N(int64(base))))
}
