package dispatch

import (
	"slices"
	"time"
)

// A slowdown is how many times as long as forecast a target takes; 1 is as forecast.
const (
	// slowRatio is the slowdown from which a target is believed slow. The limits of admission
	// leave a quarter of an objective unused, and what the forecast does not model takes part of
	// it; below this ratio requests are still in time.
	slowRatio = 1.5
	// recoveredRatio is the slowdown below which a slow target is believed to be as forecast.
	recoveredRatio = 1.25
	// maxSlowdown bounds slowdowns. A target that is slower still counts as silent.
	maxSlowdown = 8
	// slowSamples is how many samples decide that a target is slow, by their median: one late
	// packet or one slow stream among others does not. recoverSamples decide that it no longer is.
	slowSamples    = 3
	recoverSamples = 5
	// eventMemory and requestMemory are how long an estimate holds without a new sample: from
	// events, which arrive every 50 to 400 ms, and from requests, which are less frequent.
	eventMemory   = time.Second
	requestMemory = 5 * time.Second
	// minExcess is how much longer than expected a delay must be to count as slow. Less does
	// not matter to callers, and the path to the target may cause it.
	minExcess = 25 * time.Millisecond
)

// speed estimates a slowdown from the ratio of observed to expected delays. It is quick to
// believe a target slow and slower to believe that it has recovered. The zero value has no
// samples.
type speed struct {
	samples [recoverSamples]float64 // latest first
	n       int
	value   float64 // 0 is as forecast
	at      time.Time
}

// observe adds a delay that was expected to be as given. memory is that of the estimate.
func (s *speed) observe(now time.Time, delay, expected, memory time.Duration) {
	if delay <= 0 || expected <= 0 {
		return
	}
	ratio := min(float64(delay)/float64(expected), maxSlowdown)
	if delay-expected < minExcess {
		ratio = min(ratio, 1)
	}
	if now.Sub(s.at) > memory {
		*s = speed{}
	}
	copy(s.samples[1:], s.samples[:])
	s.samples[0], s.at, s.n = ratio, now, min(s.n+1, recoverSamples)
	s.update()
}

// update revises the estimate after a new sample.
func (s *speed) update() {
	if s.n >= slowSamples {
		if latest := median(s.samples[:slowSamples]); latest >= slowRatio && latest > s.value {
			s.value = latest
			return
		}
	}
	if s.value == 0 || s.n < recoverSamples {
		return
	}
	if m := median(s.samples[:]); m < recoveredRatio {
		s.value = 0
	} else {
		s.value = min(s.value, m)
	}
}

// slowdown returns the estimate; 1 without evidence.
func (s *speed) slowdown(now time.Time, memory time.Duration) float64 {
	if s.value == 0 || now.Sub(s.at) > memory {
		return 1
	}
	return s.value
}

// median returns the lower median of a non-empty list.
func median(list []float64) float64 {
	sorted := slices.Clone(list)
	slices.Sort(sorted)
	return sorted[(len(sorted)-1)/2]
}

// engineSpeed is what this entry observes of the speed of an engine.
type engineSpeed struct {
	events speed // from the spacing of events, of all streams
	short  speed // from the first events of requests whose prompts are not long
	long   speed // from the first events of requests with long prompts
}

// longPrompt is the multiple of the mean prompt from which a prompt is long.
const longPrompt = 2

// first returns the estimate from the first events of requests with prompts like the given one.
func (e *engineSpeed) first(prompt, meanPrompt int) *speed {
	if prompt >= longPrompt*max(meanPrompt, 1) {
		return &e.long
	}
	return &e.short
}

// scale returns the forecast for a target that takes slowdown times as long.
func (f Forecast) scale(slowdown float64) Forecast {
	if slowdown == 1 {
		return f
	}
	scaled := func(d time.Duration) time.Duration { return time.Duration(slowdown * float64(d)) }
	return Forecast{scaled(f.Wait), scaled(f.IdleWait), scaled(f.FirstEvent), scaled(f.Gap)}
}
