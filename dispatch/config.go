package dispatch

import (
	"cmp"
	"time"

	"github.com/springgate/springgate/mechanism"
)

// Config holds the constants of the choice.
type Config struct {
	// Off are mechanisms that are switched off.
	Off mechanism.Off
	// Regions are the regions of the failure domains.
	Regions map[string]string
	// AdmitFraction is the part of the tightest objective of a service that the
	// forecast of a mean request may take. The rest covers the way to the
	// caller and what the forecast does not see. Default 0.75.
	AdmitFraction float64
	// AdmitGapFraction is the part of the longest pause that the forecast may take.
	// Default 0.8.
	AdmitGapFraction float64
	// RemoteCost is added to the forecast at targets of other failure
	// domains: the longer way, and bytes that are paid for. Default 15 ms.
	RemoteCost time.Duration
	// SampleSize is how many targets are looked at for one choice. Default 64.
	SampleSize int
	// VersionTimeout is the time in which a new version must be served
	// everywhere; zero is no limit. VersionMargin is how much sooner engines
	// with an older one get no more requests, since those may wait there
	// before they begin. Default 1 s.
	VersionTimeout, VersionMargin time.Duration
	// PlainLatency is assumed of a plain target that has not answered yet.
	// Default 50 ms.
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
