package mirror

import metrics "github.com/rcrowley/go-metrics"

// Stats are the counters of a Follower.
type Stats struct {
	registry           metrics.Registry
	reads, readsFailed metrics.Counter // of the store, because the copy was old
}

// NewStats registers the counters.
func NewStats(r metrics.Registry) *Stats {
	return &Stats{registry: r, reads: metrics.NewRegisteredCounter("mirror.stale_reads", r),
		readsFailed: metrics.NewRegisteredCounter("mirror.stale_reads_failed", r)}
}

// age registers the gauge of the copy's age in ms.
func (s *Stats) age(f func() int64) {
	metrics.NewRegisteredFunctionalGauge("mirror.copy_age_ms", s.registry, f)
}

// late registers the number of events that came too late to be taken.
func (s *Stats) late(f func() int64) {
	metrics.NewRegisteredFunctionalGauge("mirror.events_late", s.registry, f)
}
