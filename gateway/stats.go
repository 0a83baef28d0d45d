package gateway

import (
	"fmt"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/springgate/springgate/overload/memory"
)

// sampleSize and sampleAlpha configure the histograms' reservoirs: about a thousand values,
// biased towards the last minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Stats are the counters and histograms of a gateway. Times are in milliseconds.
type Stats struct {
	registry          metrics.Registry
	answered          metrics.Counter
	refused           map[Reason]metrics.Counter
	retried           map[Reason]metrics.Counter
	firstEvent        metrics.Histogram
	answerTime        metrics.Histogram
	lostWithTarget    metrics.Counter // requests whose target ended while it ran them
	truncated         metrics.Counter // responses that this process ended before they were complete
	hedged            metrics.Counter // requests sent to another target because one was silent
	hedgesWon         metrics.Counter // of these, those that the other target began to answer first
	waitTime          metrics.Histogram
	resent            metrics.Counter      // requests written to a connection to a target once more
	retryShare        metrics.GaugeFloat64 // most retries that this entry may hold for a service
	notices           metrics.Counter      // changes in the notices of targets
	unreadableNotices metrics.Counter      // responses whose notice is not readable
	noRoom            metrics.Counter      // reservations of memory that were refused for lack of room
	overShare         metrics.Counter      // reservations of memory that were refused since their team has its share
	// forecastError is how much later than forecast the first event arrived.
	forecastError metrics.Histogram
}

// NewStats registers the metrics and returns them.
func NewStats(r metrics.Registry) *Stats {
	s := &Stats{registry: r, answered: metrics.NewRegisteredCounter("gateway.answered", r),
		lostWithTarget: metrics.NewRegisteredCounter("gateway.lost_with_target", r),
		truncated:      metrics.NewRegisteredCounter("gateway.truncated", r),
		hedged:         metrics.NewRegisteredCounter("gateway.hedged", r), hedgesWon: metrics.NewRegisteredCounter("gateway.hedges_won", r),
		resent: metrics.NewRegisteredCounter("gateway.resent", r), retryShare: metrics.NewRegisteredGaugeFloat64("gateway.retry_share", r),
		notices: metrics.NewRegisteredCounter("gateway.notices", r), unreadableNotices: metrics.NewRegisteredCounter("gateway.notices_unreadable", r),
		noRoom: metrics.NewRegisteredCounter("gateway.memory.no_room", r), overShare: metrics.NewRegisteredCounter("gateway.memory.over_share", r),
		refused: map[Reason]metrics.Counter{}, retried: map[Reason]metrics.Counter{},
		firstEvent: histogram("gateway.first_event_ms", r), answerTime: histogram("gateway.answer_ms", r),
		waitTime: histogram("gateway.wait_ms", r), forecastError: histogram("gateway.forecast_error_ms", r)}
	for _, reason := range reasons {
		s.refused[reason] = metrics.NewRegisteredCounter("gateway.failed."+string(reason), r)
		s.retried[reason] = metrics.NewRegisteredCounter("gateway.retried."+string(reason), r)
	}
	return s
}

// watchMemory registers gauges of a budget of bytes.
func (s *Stats) watchMemory(b *memory.Budget) {
	gauge := func(name string, value func(memory.Usage) int64) {
		metrics.NewRegisteredFunctionalGauge("gateway.memory."+name, s.registry, func() int64 { return value(b.Usage()) })
	}
	gauge("budget_bytes", func(u memory.Usage) int64 { return u.Budget })
	gauge("small_bytes", func(u memory.Usage) int64 { return u.Small })
	gauge("large_bytes", func(u memory.Usage) int64 { return u.Large })
}

func histogram(name string, r metrics.Registry) metrics.Histogram {
	return metrics.NewRegisteredHistogram(name, r, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
}

// recordOverShare counts a request of a rank that the admission level of its service refused.
func (s *Stats) recordOverShare(service string, rank int) {
	name := fmt.Sprintf("gateway.over_share.%s.rank_%d", service, min(rank, maxRankMetrics-1))
	metrics.GetOrRegisterCounter(name, s.registry).Inc(1)
}

func (s *Stats) recordFailure(r Reason)            { s.refused[r].Inc(1) }
func (s *Stats) recordRetry(r Reason)              { s.retried[r].Inc(1) }
func observe(h metrics.Histogram, d time.Duration) { h.Update(d.Milliseconds()) }
