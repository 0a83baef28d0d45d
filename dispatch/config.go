package dispatch

import (
	"cmp"
	"time"

	"github.com/springgate/springgate/mechanism"
)

// Config configures a Balancer.
type Config struct {
	// Off is the set of disabled mechanisms.
	Off mechanism.Off
	// Regions maps failure domains to regions.
	Regions map[string]string
	// AdmitFraction is the longest forecast latency with which a request of mean size is sent
	// to a target, as a fraction of the tightest latency objective in use by the service's
	// callers. The remaining fraction covers the path to the caller and delays that the forecast
	// does not model. Default 0.75.
	AdmitFraction float64
	// AdmitGapFraction is the longest gap that a request may cause, by forecast, between the
	// events of other streams of a target, as a fraction of Demand.MaxGap. Default 0.8.
	AdmitGapFraction float64
	// RemoteCost is added to the forecast for targets in other failure domains, for their
	// longer network path and billed traffic. Default 15 ms.
	RemoteCost time.Duration
	// SampleSize is the largest number of targets considered for one request. Default 64.
	SampleSize int
	// VersionTimeout is the time from the announcement of a new model version until all engines
	// must serve it; zero is no limit. Engines with an older version get no requests from
	// VersionMargin before the end of that time, since requests may queue at an engine before
	// they start. VersionMargin defaults to 1 s.
	VersionTimeout, VersionMargin time.Duration
	// PlainLatency is the assumed latency of a plain target that has not answered yet. Default
	// 50 ms.
	PlainLatency time.Duration
}

func (c Config) applyDefaults() Config {
	c.AdmitFraction = cmp.Or(c.AdmitFraction, 0.75)
	c.AdmitGapFraction = cmp.Or(c.AdmitGapFraction, 0.8)
	c.RemoteCost = cmp.Or(c.RemoteCost, 15*time.Millisecond)
	c.SampleSize = cmp.Or(c.SampleSize, 64)
	c.VersionMargin = cmp.Or(c.VersionMargin, time.Second)
	c.PlainLatency = cmp.Or(c.PlainLatency, 50*time.Millisecond)
	return c
}
