package dispatch

import "time"

// Work returns the work of a request in seconds of one target's time. At an engine this is the
// prefill of its prompt, given in tokens, and its share of the passes of a mean answer at a full
// batch; at a plain target the mean latency divided by the slots. It is zero if the service has no
// targets.
func (b *Balancer) Work(now time.Time, service string, prompt int) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	targets := b.services[service]
	if len(targets) == 0 {
		return 0
	}
	if m := targets[0].model; m != nil {
		return (prefillTime(m, prompt) + slotInterval(m, passTime(m, m.Slots))).Seconds()
	}
	targets = targets[:min(len(targets), b.cfg.SampleSize)]
	sum := 0.0
	for _, t := range targets {
		sum += b.plainLatency(now, t, "").Seconds() / float64(t.slots())
	}
	return sum / float64(len(targets))
}

// Utilization returns the part of the slots of a service's targets that is in use, 0 to 1. It
// covers targets that can take any request now and whose load is known here: in a fleet whose
// entries tell each other their loads, all; otherwise those whose home entry told it lately. It is
// 1 if there is none, since then no slot is known to be free.
func (b *Balancer) Utilization(now time.Time, service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expireHomeLoads(now)
	toldByHomes := len(b.homeLoads) > 0
	used, slots := 0, 0
	for _, t := range b.services[service] {
		known := !toldByHomes || now.Sub(t.homeLoadAt) < homeLoadValidity
		if !known || !b.unrestricted(now, t) {
			continue
		}
		used += min(t.load.Requests, t.slots())
		slots += t.slots()
	}
	if slots == 0 {
		return 1
	}
	return float64(used) / float64(slots)
}

// unrestricted reports whether a target can take requests now, at any rate.
func (b *Balancer) unrestricted(now time.Time, t *Target) bool {
	state := b.stateOf(t)
	return !state.Leaving && b.usable(now, t) && !b.lastResort(now, t) && !b.policy.Evacuated(t.Domain) && !t.rate(now, state.Limit).bounded
}
