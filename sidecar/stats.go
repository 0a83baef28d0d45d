package sidecar

import (
	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"
)

// sampleSize and sampleAlpha configure the histogram's reservoir: about a thousand values,
// biased towards the last minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Stats are the metrics of a sidecar.
type Stats struct {
	fetched      metrics.Counter // pieces fetched from entries
	bad          metrics.Counter // staged pieces found missing or corrupt
	orders       metrics.Counter // load orders accepted by the engine
	ordersFailed metrics.Counter // load orders refused, or without a known outcome
	// Load orders that got no answer, not counting repeats, and those of them whose
	// outcome has become known.
	ordersInDoubt, ordersSettled metrics.Counter
	ordersStale                  metrics.Counter // refused: the engine's state had changed
	ordersFenced                 metrics.Counter // refused: the token was too low
	// Loads after whose beginning the staged pieces were valid, and all others.
	loadsProven, loadsUnproven metrics.Counter
	stageTime                  metrics.Histogram // from the manifest to the last piece, ms
}

// NewStats registers the metrics and returns them.
func NewStats(r metrics.Registry) *Stats {
	return &Stats{fetched: metrics.NewRegisteredCounter("sidecar.pieces.fetched", r),
		bad:           metrics.NewRegisteredCounter("sidecar.pieces.spoilt", r),
		orders:        metrics.NewRegisteredCounter("sidecar.orders", r),
		ordersFailed:  metrics.NewRegisteredCounter("sidecar.orders.failed", r),
		ordersInDoubt: metrics.NewRegisteredCounter("sidecar.orders.in_doubt", r),
		ordersSettled: metrics.NewRegisteredCounter("sidecar.orders.settled", r),
		ordersStale:   metrics.NewRegisteredCounter("sidecar.orders.stale", r),
		ordersFenced:  metrics.NewRegisteredCounter("sidecar.orders.fenced", r),
		loadsProven:   metrics.NewRegisteredCounter("sidecar.loads.proven", r),
		loadsUnproven: metrics.NewRegisteredCounter("sidecar.loads.unproven", r),
		stageTime:     metrics.NewRegisteredHistogram("sidecar.stage_ms", r, metrics.NewExpDecaySample(sampleSize, sampleAlpha))}
}

// count counts the answer to a load order.
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
