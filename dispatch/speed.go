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
	// slowFirstRatio is the same for first events, whose forecast errs more: it depends on when
	// other entries' requests arrive.
	slowFirstRatio = 2
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
	// A target that was found slow repeatedly is remembered as long as that went on, up to
	// requestMemory.
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
	value   float64   // 0 is as forecast
	since   time.Time // when the target was found slow
	at      time.Time // of the last sample
}

// expectation is the least and the most that a delay can be at a target that is not slow.
type expectation struct{ least, most time.Duration }

// ratio returns the slowdown, between those that explain the delay, that is closest to the one
// believed. It is decisive if the believed one does not explain the delay, or if a target that is
// not slow does not.
func (e expectation) ratio(delay time.Duration, believed float64) (ratio float64, decisive bool) {
	low, high := float64(delay)/float64(e.most), float64(delay)/float64(max(e.least, 1))
	if delay-e.most < minExcess {
		low = min(low, 1)
	}
	ratio = min(max(believed, low), max(high, low), maxSlowdown)
	return ratio, ratio != believed || low >= recoveredRatio
}

// observe adds a delay. memory is that of the estimate, and threshold the slowdown from which the
// target is believed slow. A delay that would be usual at a slow target, but may have another
// cause, does not prolong the belief that the target is slow.
func (s *speed) observe(now time.Time, delay time.Duration, e expectation, memory time.Duration, threshold float64) {
	if delay <= 0 || e.most <= 0 {
		return
	}
	if s.forgotten(now, memory) {
		*s = speed{}
	}
	ratio, decisive := e.ratio(delay, max(s.value, 1))
	if s.value > 0 && !decisive {
		return
	}
	copy(s.samples[1:], s.samples[:])
	s.samples[0], s.at, s.n = ratio, now, min(s.n+1, recoverSamples)
	s.update(now, threshold)
}

// forgotten reports whether the samples are too old to tell anything.
func (s *speed) forgotten(now time.Time, memory time.Duration) bool {
	if s.value > 0 {
		memory = max(memory, min(s.at.Sub(s.since), requestMemory))
	}
	return now.Sub(s.at) > memory
}

// update revises the estimate after a new sample.
func (s *speed) update(now time.Time, threshold float64) {
	if s.n >= slowSamples {
		if latest := median(s.samples[:slowSamples]); latest >= threshold && latest > s.value {
			if s.value == 0 {
				s.since, s.n = now, 0 // recovery is decided by later samples
			}
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
	if s.value == 0 || s.forgotten(now, memory) {
		return 1
	}
	return s.value
}

// known reports whether there are enough recent samples.
func (s *speed) known(now time.Time, memory time.Duration) bool {
	return (s.value > 0 || s.n >= slowSamples) && !s.forgotten(now, memory)
}

// latest returns the median ratio of the latest samples, whether or not the target is believed
// slow; 1 without evidence.
func (s *speed) latest(now time.Time, memory time.Duration) float64 {
	switch {
	case !s.known(now, memory):
		return 1
	case s.n == 0:
		return s.value
	}
	return median(s.samples[:s.n])
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
