package spread

import "time"

// maxBackoffShift is the maximum number of times that a source's back-off is doubled.
const maxBackoffShift = 5

// source is what this host knows of the state of the store or the origin.
type source struct {
	hasVersion   bool // the source is in use and has not answered that it lacks the version
	inflight     int
	failures     int
	blockedUntil time.Time
}

func (s *source) succeeded() { s.failures = 0 }

// availableSource returns the source to read from now: the store while it has the
// version and is not blocked, otherwise the origin.
func (p *Planner) availableSource(now time.Time) (SourceKind, bool) {
	for _, k := range []SourceKind{FromStore, FromOrigin} {
		s := &p.sources[k]
		if !s.hasVersion {
			continue
		}
		if now.Before(s.blockedUntil) {
			if k == FromStore && s.failures == 0 {
				return 0, false // rate-limited, not failed: wait for the store
			}
			continue
		}
		return k, s.inflight < p.perSource()
	}
	return 0, false
}

// hasWorkingSource reports whether a source can be read now or after a rate limit.
func (p *Planner) hasWorkingSource(now time.Time) bool {
	for _, k := range []SourceKind{FromStore, FromOrigin} {
		if s := &p.sources[k]; s.hasVersion && (s.failures == 0 || !now.Before(s.blockedUntil)) {
			return true
		}
	}
	return false
}

// sourceFailed records a failure. A store without the version is not used again. After a
// rate limit, the source is blocked for the requested time plus a random part of it, so
// that hosts that were limited at the same time do not retry at the same time.
func (p *Planner) sourceFailed(now time.Time, k SourceKind, fault Fault, wait time.Duration) {
	s := &p.sources[k]
	if fault == FaultMissing && k == FromStore {
		s.hasVersion = false
		return
	}
	if fault == FaultRateLimited {
		s.failures = 0
		s.blockedUntil = now.Add(wait + time.Duration(p.rng.Int64N(int64(wait)+1)))
		return
	}
	base := p.cfg.SourceBackoff << min(s.failures, maxBackoffShift)
	s.failures++
	s.blockedUntil = now.Add(base/2 + time.Duration(p.rng.Int64N(int64(base))))
}
