package sidecar

import metrics "github.com/rcrowley/go-metrics"

// sampleSize and sampleAlpha shape the histogram: a sample of about a thousand
// values, biased to the last minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Stats are the counters of a sidecar.
type Stats struct {
	fetched      metrics.Counter   // pieces that came from entries
	spoilt       metrics.Counter   // staged pieces that were missing or bad
	orders       metrics.Counter   // load orders that the engine took
	ordersFailed metrics.Counter   // load orders that it did not
	stageTime    metrics.Histogram // from the manifest to the last piece, ms
}

// NewStats registers the counters.
func NewStats(r metrics.Registry) *Stats {
	return &Stats{fetched: metrics.NewRegisteredCounter("sidecar.pieces.fetched", r),
		spoilt:       metrics.NewRegisteredCounter("sidecar.pieces.spoilt", r),
		orders:       metrics.NewRegisteredCounter("sidecar.orders", r),
		ordersFailed: metrics.NewRegisteredCounter("sidecar.orders.failed", r),
		stageTime:    metrics.NewRegisteredHistogram("sidecar.stage_ms", r, metrics.NewExpDecaySample(sampleSize, sampleAlpha))}
}
