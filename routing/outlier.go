package routing

import "time"

// Ejector tracks the hosts that are temporarily excluded because they failed
// requests. It must be used by a single goroutine.
type Ejector struct {
	cfg   Config
	until map[string]time.Time
}

// NewEjector returns an ejector without ejected hosts.
func NewEjector(cfg Config) *Ejector {
	return &Ejector{cfg: cfg.ApplyDefaults(), until: map[string]time.Time{}}
}

// Check ejects e after too many consecutive failures, unless too many of the
// service's hosts are ejected already. total is the number of the service's
// hosts.
func (j *Ejector) Check(now time.Time, e *Endpoint, total int) {
	if e.failures.Load() < int64(j.cfg.EjectAfter) || now.Before(j.until[e.Host]) {
		return
	}
	if float64(j.active(now)+1) > j.cfg.MaxEjected*float64(total) {
		return
	}
	n := min(e.ejections.Add(1), maxEjectFactor)
	e.failures.Store(0)
	j.until[e.Host] = now.Add(time.Duration(n) * j.cfg.EjectFor)
}

// Ejected reports whether the host is currently ejected.
func (j *Ejector) Ejected(now time.Time, host string) bool { return now.Before(j.until[host]) }

func (j *Ejector) active(now time.Time) int {
	n := 0
	for h, t := range j.until {
		if now.Before(t) {
			n++
		} else {
			delete(j.until, h)
		}
	}
	return n
}
