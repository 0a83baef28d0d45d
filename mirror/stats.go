package mirror

import metrics "github.com/rcrowley/go-metrics"

// Stats are the counters of a Follower.
type Stats struct {
	registry                     metrics.Registry
	staleReads, staleReadsFailed metrics.Counter // reads of the store because the copy was stale
}

// NewStats registers the counters in r.
func NewStats(r metrics.Registry) *Stats {
	return &Stats{registry: r, staleReads: metrics.NewRegisteredCounter("mirror.stale_reads", r),
		staleReadsFailed: metrics.NewRegisteredCounter("mirror.stale_reads_failed", r)}
}

// registerAge registers the gauge of the copy's age in ms.
func (s *Stats) registerAge(f func() int64) {
	metrics.NewRegisteredFunctionalGauge("mirror.copy_age_ms", s.registry, f)
}

// registerLateEvents registers the gauge of the number of late events (see Table.LateEvents).
func (s *Stats) registerLateEvents(f func() int64) {
	metrics.NewRegisteredFunctionalGauge("mirror.events_late", s.registry, f)
}

// registerFullCopies registers the gauge of the number of whole copies read (see
// Table.FullCopies).
func (s *Stats) registerFullCopies(f func() int64) {
	metrics.NewRegisteredFunctionalGauge("mirror.full_copies", s.registry, f)
}
