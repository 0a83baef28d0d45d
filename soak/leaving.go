package soak

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/springgate/springgate/platform/fake"
)

// Parameters of targets that announce in their responses that they are leaving.
const (
	announceLeavingOneIn = 4 // one target in this many announces that it is leaving
	// listedReadyMin and listedReadyMax bound how long such a target remains listed as
	// ready.
	listedReadyMin = propagationBound + time.Second
	listedReadyMax = propagationBound + 4*time.Second
)

// announceLeaving makes some targets announce in their responses that they are leaving
// while they remain listed as ready. Afterwards they are marked as leaving and replaced.
func announceLeaving(f *Fleet, rng *rand.Rand, _ time.Duration) {
	var leaving sync.WaitGroup
	targets := append(f.engines[1:len(f.engines):len(f.engines)], f.plainTargets[1:]...) // one engine and one plain target stay
	for _, i := range rng.Perm(len(targets))[:max(len(targets)/announceLeavingOneIn, 1)] {
		t, after := targets[i], randomDuration(rng, listedReadyMin, listedReadyMax)
		leaving.Go(func() { f.leaveWhileListed(t, after) })
	}
	leaving.Wait()
}

func (f *Fleet) leaveWhileListed(t *fake.Target, after time.Duration) {
	incarnation := t.AdvertiseLeaving()
	f.logf("%s announces that it is leaving, remains listed as ready for %v", incarnation, after.Round(time.Millisecond))
	time.Sleep(after)
	if t.Incarnation() != incarnation {
		return
	}
	t.StartDraining()
	f.recorder.recordLeaving(incarnation)
	time.Sleep(leaveMin)
	f.markTargetFaulty(t, settleTime)
	t.Replace(incarnation)
}

// sentAfterLeavingNotice returns the attempts that reached a target more than
// propagationBound after their entry had forwarded a response in which the target
// announced that it is leaving. They are violations whether or not the entry can reach the
// store.
func sentAfterLeavingNotice(attempts []Attempt, facts Facts) []Attempt {
	type notice struct{ entry, target string }
	since := map[notice]time.Duration{}
	for _, a := range attempts {
		n := notice{a.Incarnation, a.AnnouncedLeaving}
		if at, known := since[n]; a.AnnouncedLeaving != "" && (!known || a.Answered < at) {
			since[n] = a.Answered
		}
	}
	var out []Attempt
	for _, a := range attempts {
		for _, incarnation := range facts.Reached[a.ID] {
			at, known := since[notice{a.Incarnation, incarnation}]
			if known && a.EntryFaultFree && a.Sent-at > propagationBound {
				out = append(out, a)
				break
			}
		}
	}
	return out
}
