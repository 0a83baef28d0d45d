package gateway

import (
	"slices"

	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/mirror"
)

// applyEvacuations takes which failure domains are evacuated. They are those whose keys the
// copy of the store has; the copy orders what it is told by revision, so an evacuation that
// was taken back stays so.
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
	unknown := c.book.SetEvacuated(evacuated)
	c.unknownEvacuations.Update(int64(unknown))
	c.log.WithFields(logrus.Fields{"domains": evacuated, "unknown": unknown, "copy": c.copyRevision}).Info("Failure domains evacuated.")
}
