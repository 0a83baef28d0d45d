package gateway

import (
	"slices"

	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/mirror"
)

// applyEvacuations applies the evacuations that the operators have ordered: an evacuated
// failure domain gets no requests while the key of its evacuation is in the mirror. The
// mirror orders changes by revision, so an evacuation that was withdrawn does not reappear.
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
