package dispatch

import (
	"time"
)

const (
	// maxKinds bounds the kinds of requests of which a plain target's latency is kept. Further
	// kinds count as one.
	maxKinds = 16
	// minKindSamples is the number of responses of a kind from which their mean latency counts.
	minKindSamples = 8
	// maxComparedTargets bounds the targets with which a plain target is compared.
	maxComparedTargets = 32
	// maxLatencyRatio bounds a response's share in the mean, in multiples of the mean: a few
	// requests take far longer than others of their kind wherever they run.
	maxLatencyRatio = 4
	// otherKinds is the kind that stands for all beyond maxKinds.
	otherKinds = ""
)

// meanLatency is the moving mean latency of responses of one kind.
type meanLatency struct {
	mean time.Duration
	n    int
	at   time.Time
}

func (m *meanLatency) observe(now time.Time, latency time.Duration) {
	if now.Sub(m.at) > requestMemory {
		*m = meanLatency{}
	}
	if m.n >= minKindSamples {
		latency = min(latency, maxLatencyRatio*m.mean)
	}
	m.n++
	m.at = now
	weight := max(latencyWeight, 1/float64(m.n))
	m.mean += time.Duration(weight * float64(latency-m.mean))
}

// valid reports whether the mean is based on enough recent responses.
func (m *meanLatency) valid(now time.Time) bool {
	return m != nil && m.n >= minKindSamples && now.Sub(m.at) <= requestMemory
}

// plainSpeed is what this entry observes of the speed of a plain target.
type plainSpeed struct {
	kinds map[string]*meanLatency
	value float64 // slowdown; 0 is as others
	at    time.Time
}

// kind returns the mean of a kind of requests.
func (p *plainSpeed) kind(kind string) *meanLatency {
	m := p.kinds[kind]
	if m != nil {
		return m
	}
	if len(p.kinds) >= maxKinds {
		kind = otherKinds
	}
	if p.kinds == nil {
		p.kinds = map[string]*meanLatency{}
	}
	if p.kinds[kind] == nil {
		p.kinds[kind] = &meanLatency{}
	}
	return p.kinds[kind]
}

// set applies the ratio of the target's latency to that of others.
func (p *plainSpeed) set(now time.Time, ratio float64) {
	p.at = now
	switch {
	case ratio >= slowRatio, ratio >= recoveredRatio && p.value > 0:
		p.value = min(ratio, maxSlowdown)
	default:
		p.value = 0
	}
}

func (p *plainSpeed) slowdown(now time.Time) float64 {
	if p.value == 0 || now.Sub(p.at) > requestMemory {
		return 1
	}
	return p.value
}

// othersLatency returns the mean latency of a kind of requests at the targets of a service other
// than t; zero if it is unknown. t may be nil for the mean at all.
func (b *Balancer) othersLatency(now time.Time, service string, t *Target, kind string) time.Duration {
	var sum time.Duration
	n := 0
	for _, o := range b.services[service] {
		if o == t {
			continue
		}
		if m := o.plain.kinds[kind]; m.valid(now) {
			sum += time.Duration(float64(m.mean) / o.plain.slowdown(now))
			if n++; n == maxComparedTargets {
				break
			}
		}
	}
	if n == 0 {
		return 0
	}
	return sum / time.Duration(n)
}

// kindKey identifies a kind of requests of a service.
type kindKey struct{ service, kind string }

// kindLatency is the latency of a kind of requests.
type kindLatency struct {
	at    time.Time
	value time.Duration
}

// kindLatencyOf returns the mean latency of a kind of requests at the targets of a service; zero
// if it is unknown. Slow targets count with the latency that they would have otherwise.
func (b *Balancer) kindLatencyOf(now time.Time, service, kind string) time.Duration {
	key := kindKey{service, kind}
	l, ok := b.latencies[key]
	if !ok || now.Sub(l.at) >= commonInterval {
		l = kindLatency{now, b.othersLatency(now, service, nil, kind)}
		b.latencies[key] = l
	}
	return l.value
}

// recordPlain records the latency of a response of a plain target. A response that had to wait
// for a slot tells nothing of the target's speed.
func (b *Balancer) recordPlain(now time.Time, t *Target, kind string, latency time.Duration) {
	t.health.recordLatency(latency)
	if b.speedOff() || t.Slots > 0 && t.load.Requests >= t.Slots {
		return
	}
	t.plain.kind(kind).observe(now, latency)
	var own, others time.Duration
	for k, m := range t.plain.kinds {
		if !m.valid(now) {
			continue
		}
		if o := b.othersLatency(now, t.Service, t, k); o > 0 {
			own, others = own+m.mean*time.Duration(m.n), others+o*time.Duration(m.n)
		}
	}
	if others == 0 || own-others < 0 {
		t.plain.set(now, 1)
		return
	}
	t.plain.set(now, float64(own)/float64(others))
}
