package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/mirror"
)

// evacuations are the evacuations that the operators have ordered, by the failure domain: an
// evacuated domain gets no requests while the key of its evacuation is in the mirror. The mirror
// orders changes by revision, so an evacuation that was withdrawn does not reappear, unless the
// store is restored from an older copy. Then what was in force before holds until the operators
// have changed it, and at most for catchUp, within which they write again what the store has
// lost. evacuations does no I/O and reads no clock.
type evacuations struct {
	catchUp time.Duration

	at       mirror.Revision // at the last update
	inForce  map[string]bool
	before   map[string]bool            // in force before the last restore
	restored map[string]mirror.Revision // as the restored store had them
	until    time.Time                  // before and restored count until then
	holding  bool                       // before and restored counted at the last update
}

// update applies the evacuations that the mirror has, at a revision of the store, and returns the
// evacuated domains, sorted.
func (e *evacuations) update(now time.Time, at mirror.Revision, listed map[string]mirror.Revision) []string {
	if at.Era() > e.at.Era() && e.at > 0 { // at revision 0 nothing has been read yet
		e.before, e.restored, e.until = e.inForce, listed, now.Add(e.catchUp)
	}
	e.at, e.inForce = at, map[string]bool{}
	for domain := range listed {
		e.inForce[domain] = true
	}
	e.holding = now.Before(e.until)
	if !e.holding {
		return slices.Sorted(maps.Keys(e.inForce))
	}
	for domain := range e.before {
		if listed[domain] == e.restored[domain] {
			e.inForce[domain] = true
		}
	}
	for domain := range listed {
		if listed[domain] == e.restored[domain] && !e.before[domain] {
			delete(e.inForce, domain)
		}
	}
	return slices.Sorted(maps.Keys(e.inForce))
}

// applyEvacuations applies the evacuations in the mirror.
func (c *Control) applyEvacuations(items []mirror.Item) {
	listed := map[string]mirror.Revision{}
	for _, i := range items {
		if domain, ok := c.decoder.Evacuation(i); ok {
			listed[domain] = i.Revision
		}
	}
	evacuated := c.evacuations.update(clock.Now(), c.mirrorRevision, listed)
	if slices.Equal(evacuated, c.evacuated) {
		return
	}
	c.evacuated = evacuated
	unknown := c.balancer.SetEvacuated(evacuated)
	c.unknownEvacuations.Update(int64(unknown))
	c.log.WithFields(logrus.Fields{"domains": evacuated, "unknown": unknown, "copy": c.mirrorRevision}).Info("Evacuated failure domains changed.")
}
