package mirror

import metrics "github.com/rcrowley/go-metrics"

// Stats are the counters of a Follower.
type Stats struct {
	registry                     metrics.Registry
	staleReads, staleReadsFailed metrics.Counter // reads of the store because the copy was stale
	compacted                    metrics.Counter // times that a source no longer had the history
	oversized                    metrics.Counter // changes that exceeded the size of a response
	restores                     metrics.Counter // times that the store was found restored from an older copy
}

// NewStats registers the counters in r.
func NewStats(r metrics.Registry) *Stats {
	return &Stats{registry: r, staleReads: metrics.NewRegisteredCounter("mirror.stale_reads", r),
		staleReadsFailed: metrics.NewRegisteredCounter("mirror.stale_reads_failed", r),
		compacted:        metrics.NewRegisteredCounter("mirror.history_compacted", r),
		oversized:        metrics.NewRegisteredCounter("mirror.changes_oversized", r),
		restores:         metrics.NewRegisteredCounter("mirror.store_restored", r)}
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

// registerRevision registers the gauges of the copy's revision: its era and its number.
func (s *Stats) registerRevision(f func() Revision) {
	metrics.NewRegisteredFunctionalGauge("mirror.era", s.registry, func() int64 { return f().Era() })
	metrics.NewRegisteredFunctionalGauge("mirror.revision", s.registry, func() int64 { return f().Number() })
}

// registerOutdatedCopies registers the gauge of the number of full copies that were ignored (see
// Table.OutdatedCopies).
func (s *Stats) registerOutdatedCopies(f func() int64) {
	metrics.NewRegisteredFunctionalGauge("mirror.full_copies_outdated", s.registry, f)
}
