package sidecar

import (
	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"
)

// sampleSize and sampleAlpha shape the histogram: a sample of about a thousand
// values, biased to the last minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Stats are the counters of a sidecar.
type Stats struct {
	fetched      metrics.Counter // pieces that came from entries
	spoilt       metrics.Counter // staged pieces that were missing or bad
	orders       metrics.Counter // load orders that the engine took
	ordersFailed metrics.Counter // load orders that it did not, or of which that is not known
	// Load orders that got no answer, repeats not counted, and those of them of
	// which it is known by now whether they took effect.
	ordersInDoubt, ordersSettled metrics.Counter
	ordersStale                  metrics.Counter   // refused: the engine's state was another
	ordersFenced                 metrics.Counter   // refused: the token was too low
	stageTime                    metrics.Histogram // from the manifest to the last piece, ms
}

// NewStats registers the counters.
func NewStats(r metrics.Registry) *Stats {
	return &Stats{fetched: metrics.NewRegisteredCounter("sidecar.pieces.fetched", r),
		spoilt:        metrics.NewRegisteredCounter("sidecar.pieces.spoilt", r),
		orders:        metrics.NewRegisteredCounter("sidecar.orders", r),
		ordersFailed:  metrics.NewRegisteredCounter("sidecar.orders.failed", r),
		ordersInDoubt: metrics.NewRegisteredCounter("sidecar.orders.in_doubt", r),
		ordersSettled: metrics.NewRegisteredCounter("sidecar.orders.settled", r),
		ordersStale:   metrics.NewRegisteredCounter("sidecar.orders.stale", r),
		ordersFenced:  metrics.NewRegisteredCounter("sidecar.orders.fenced", r),
		stageTime:     metrics.NewRegisteredHistogram("sidecar.stage_ms", r, metrics.NewExpDecaySample(sampleSize, sampleAlpha))}
}

// count notes the answer to a load order.
func (s *Stats) count(err error) {
	if err == nil {
		s.orders.Inc(1)
		return
	}
	s.ordersFailed.Inc(1)
	switch {
	case errors.Is(err, ErrOrderStale):
		s.ordersStale.Inc(1)
	case errors.Is(err, ErrOrderFenced):
		s.ordersFenced.Inc(1)
	}
}
