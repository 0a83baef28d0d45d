// Package routing chooses the target host of a request in the mode of `springgate serve`;
// package dispatch does in that of `springgate gateway`, which uses the retry budget of here.
// It is pure: clock readings and randomness are passed in, and picking allocates nothing.
package routing

import (
	"cmp"
	"sync/atomic"
	"time"
)

// Config holds the constants of the choice.
type Config struct {
	// ReportMaxAge is the age of a host's status report after which the host
	// gets no new work. A lower value stops work to paused or cut-off hosts
	// sooner and needs more reports. Default 2 s.
	ReportMaxAge time.Duration
	// ReportHalfLife is the time in which a report of other entries' load
	// loses half its weight. Default 500 ms.
	ReportHalfLife time.Duration
	// SlowStart is how long a target that became ready takes to get its full
	// share. Default 5 s.
	SlowStart time.Duration
	// SpillThreshold is the load per slot of the best near host above which hosts of
	// other failure domains are considered too. Default 1.
	SpillThreshold float64
	// PrefixMaxLoad is the load per slot up to which the host that holds a
	// prompt's prefix is preferred to the less loaded. Default 1.
	PrefixMaxLoad float64
	// EjectAfter is how many failures in a row eject a host. Default 5.
	EjectAfter int
	// EjectFor is how long the first ejection lasts; each further one lasts
	// that much longer, up to ten times. Default 2 s.
	EjectFor time.Duration
	// MaxEjected is the largest part of the hosts that may be ejected at
	// once; above it the host stays. Default 0.3.
	MaxEjected float64
}

// ApplyDefaults returns c with zero fields set to their defaults.
func (c Config) ApplyDefaults() Config {
	c.ReportMaxAge = cmp.Or(c.ReportMaxAge, 2*time.Second)
	c.ReportHalfLife = cmp.Or(c.ReportHalfLife, 500*time.Millisecond)
	c.SlowStart = cmp.Or(c.SlowStart, 5*time.Second)
	c.SpillThreshold = cmp.Or(c.SpillThreshold, 1)
	c.PrefixMaxLoad = cmp.Or(c.PrefixMaxLoad, 1)
	c.EjectAfter = cmp.Or(c.EjectAfter, 5)
	c.EjectFor = cmp.Or(c.EjectFor, 2*time.Second)
	c.MaxEjected = cmp.Or(c.MaxEjected, 0.3)
	return c
}

// maxEjectFactor bounds how much longer repeated ejections get.
const maxEjectFactor = 10

// Endpoint is what an entry counts about one host. The counters are shared by
// all traffic goroutines.
type Endpoint struct {
	Host   string
	Addr   string
	Domain string

	inflight  atomic.Int64
	failures  atomic.Int64 // in a row
	ejections atomic.Int64
}

// Started counts a request sent to the host.
func (e *Endpoint) Started() { e.inflight.Add(1) }

// Finished counts a request that ended there; ok is false if the host failed
// it. It reports whether the failures in a row have reached limit.
func (e *Endpoint) Finished(ok bool, limit int) bool {
	e.inflight.Add(-1)
	if ok {
		e.failures.Store(0)
		return false
	}
	return e.failures.Add(1) >= int64(limit)
}

// Inflight returns how many requests of this entry are at the host.
func (e *Endpoint) Inflight() int64 { return e.inflight.Load() }

// Report is a host's own account of its load.
type Report struct {
	At        time.Time // when this entry received it
	Incarnation    uint64
	Running   int
	Queued    int
	Slots     int
	OwnInflight       int64 // this entry's in-flight count when the report arrived
	ReadySince time.Time
	Ready     bool
	Leaving   bool
}

// Candidate is a host that may get requests.
type Candidate struct {
	Endpoint *Endpoint
	Report   Report
}
