package gateway

import (
	"slices"

	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/mirror"
)

// applyEvacuations applies the evacuations of failure domains: those whose keys are in the
// mirror of the store. The mirror orders changes by revision, so an evacuation that was
// withdrawn does not reappear.
func (c *Control) applyEvacuations(items []mirror.Item) {
	var evacuated []string
	for _, i := range items {
		if domain, ok := c.decoder.Evacuation(i); ok {
			evacuated = append(evacuated, domain)
		}
	}
	slices.Sort(evacuated)
	if slices.Equal(evacuated, c.evacuated) {
		return
	}
	c.evacuated = evacuated
	unknown := c.balancer.SetEvacuated(evacuated)
	c.unknownEvacuations.Update(int64(unknown))
	c.log.WithFields(logrus.Fields{"domains": evacuated, "unknown": unknown, "copy": c.mirrorRevision}).Info("Evacuated failure domains changed.")
}
