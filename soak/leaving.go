package soak

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/springgate/springgate/platform/fake"
)

// Course of targets that say in their answers that they leave.
const (
	sayLeavingOf = 4 // one target in so many says so
	// unlistedFrom and unlistedTo bound how long the list goes on naming it as ready.
	unlistedFrom = inForceWithin + time.Second
	unlistedTo   = inForceWithin + 4*time.Second
)

// leavingSaid makes some targets say in their answers that they leave, while the list goes
// on naming them as ready. They end as others that leave.
func leavingSaid(f *Fleet, rng *rand.Rand, _ time.Duration) {
	var leaving sync.WaitGroup
	targets := append(f.engines[1:len(f.engines):len(f.engines)], f.plains[1:]...) // one of each kind stays
	for _, i := range rng.Perm(len(targets))[:max(len(targets)/sayLeavingOf, 1)] {
		t, after := targets[i], between(rng, unlistedFrom, unlistedTo)
		leaving.Go(func() { f.leaveUnlisted(t, after) })
	}
	leaving.Wait()
}

func (f *Fleet) leaveUnlisted(t *fake.Target, after time.Duration) {
	life := t.SayLeaving()
	f.logf("%s says that it leaves, listed as ready for %v", life, after.Round(time.Millisecond))
	time.Sleep(after)
	if t.Life() != life {
		return
	}
	t.Leave()
	f.notes.leaves(life)
	time.Sleep(leaveFrom)
	f.troubleTarget(t, aftermath)
	t.Replace(life)
}

// toSaidLeaving returns the attempts that reached a target longer after their entry had
// passed on an answer in which it leaves than it may still get requests. The entry is
// bound whether or not it is in touch.
func toSaidLeaving(attempts []Attempt, facts Facts) []Attempt {
	type told struct{ entry, life string }
	since := map[told]time.Duration{}
	for _, a := range attempts {
		t := told{a.Incarnation, a.AnnouncedLeaving}
		if at, known := since[t]; a.AnnouncedLeaving != "" && (!known || a.Answered < at) {
			since[t] = a.Answered
		}
	}
	var out []Attempt
	for _, a := range attempts {
		for _, life := range facts.Reached[a.ID] {
			at, known := since[told{a.Incarnation, life}]
			if known && a.EntryFaultFree && a.Sent-at > inForceWithin {
				out = append(out, a)
				break
			}
		}
	}
	return out
}
