// Package routing selects the target host of a request in the mode of `springgate serve`.
// In the mode of `springgate gateway` package dispatch does so, with the retry budget of
// this package. An entry is a process that sends callers' requests on to target hosts; a
// slot of a host is its capacity for one running request. Package routing performs no I/O;
// clock readings and randomness are passed as arguments, and picking a host does not
// allocate.
package routing

import (
	"cmp"
	"sync/atomic"
	"time"
)

// Config holds the parameters of the selection.
type Config struct {
	// ReportMaxAge is the age of a host's status report after which the host
	// receives no new requests. A lower value stops requests to paused or
	// partitioned hosts sooner and needs more frequent reports. Default 2 s.
	ReportMaxAge time.Duration
	// ReportHalfLife is the time in which the reported load of other entries
	// loses half its weight. Default 500 ms.
	ReportHalfLife time.Duration
	// SlowStart is how long a target takes to receive its full share of the
	// requests after it became ready. Default 5 s.
	SlowStart time.Duration
	// SpillThreshold is the number of requests per slot at the less loaded of two
	// hosts of the entry's failure domain above which hosts of other domains are
	// considered too. Default 1.
	SpillThreshold float64
	// PrefixMaxLoad is the number of requests per slot up to which the host that
	// PickPrefix assigns to a prompt's prefix is preferred to less loaded hosts.
	// Default 1.
	PrefixMaxLoad float64
	// EjectAfter is the number of consecutive failures that ejects a host.
	// Default 5.
	EjectAfter int
	// EjectFor is how long the first ejection lasts. Each further one lasts
	// EjectFor longer than the one before, up to ten times EjectFor. Default 2 s.
	EjectFor time.Duration
	// MaxEjected is the largest fraction of a service's hosts that may be ejected
	// at once. Default 0.3.
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

// maxEjectFactor limits the duration of repeated ejections to a multiple of EjectFor.
const maxEjectFactor = 10

// Endpoint holds an entry's request counters for one host. The counters are
// shared by all goroutines that handle requests.
type Endpoint struct {
	Host   string
	Addr   string
	Domain string

	inflight  atomic.Int64
	failures  atomic.Int64 // consecutive
	ejections atomic.Int64
}

// Started counts a request sent to the host.
func (e *Endpoint) Started() { e.inflight.Add(1) }

// Finished counts a request that has ended; ok is false if the host failed it.
// It reports whether the consecutive failures have reached limit.
func (e *Endpoint) Finished(ok bool, limit int) bool {
	e.inflight.Add(-1)
	if ok {
		e.failures.Store(0)
		return false
	}
	return e.failures.Add(1) >= int64(limit)
}

// Inflight returns the number of this entry's requests in flight at the host.
func (e *Endpoint) Inflight() int64 { return e.inflight.Load() }

// Report is the load status that a host reported.
type Report struct {
	At          time.Time // when this entry received it
	Incarnation uint64
	Running     int
	Queued      int
	Slots       int
	OwnInflight int64 // this entry's in-flight count when the report arrived
	ReadySince  time.Time
	Ready       bool
	Leaving     bool
}

// Candidate is a host that may receive requests.
type Candidate struct {
	Endpoint *Endpoint
	Report   Report
}
