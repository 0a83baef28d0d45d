package quarantine

import "time"

// inFlight is for how long requests with a subject have been in flight, in sum over them. It begins anew
// when none is, and when a crash of the subject becomes known.
type inFlight struct {
	n     int // requests in flight now
	sum   time.Duration
	until time.Time // that sum covers
}

func (x *inFlight) advance(now time.Time) {
	if now.After(x.until) {
		x.sum += time.Duration(x.n) * now.Sub(x.until)
		x.until = now
	}
}

// BeginRun records that this process sends a request with these subjects to a target. EndRun must be
// called with the same subjects.
func (t *Table) BeginRun(now time.Time, subjects []Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, f := range subjects {
		x := t.inFlight[f]
		if x == nil {
			x = &inFlight{until: now}
			t.inFlight[f] = x
		}
		x.advance(now)
		x.n++
	}
}

// EndRun records that a request is no longer in flight.
func (t *Table) EndRun(now time.Time, subjects []Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, f := range subjects {
		x := t.inFlight[f]
		if x == nil {
			continue
		}
		x.advance(now)
		if x.n--; x.n <= 0 {
			delete(t.inFlight, f)
		}
	}
}

// InFlight returns for how long requests of this process with a subject have been in flight, in sum over
// them, since there were none and since the subject's last crash that is known.
func (t *Table) InFlight(now time.Time, f Fingerprint) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.inFlight[f]
	if x == nil {
		return 0
	}
	x.advance(now)
	return x.sum
}

// restartInFlight begins the time of a subject anew at one of its crashes. The caller holds the lock.
func (t *Table) restartInFlight(now time.Time, f Fingerprint) {
	if x := t.inFlight[f]; x != nil {
		x.sum, x.until = 0, now
	}
}
