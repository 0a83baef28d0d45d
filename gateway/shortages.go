package gateway

import (
	"time"

	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/overload"
)

// Shortages implements mesh.Listener: it returns what this entry knows of services that are short
// of targets.
func (c *Control) Shortages(now time.Time) map[string]overload.Report {
	if c.level == nil {
		return nil
	}
	return c.level.Reports(now)
}

// applyShortages applies what another entry reports. A message without shortages may have left them
// out, so that those of the last one hold until they expire.
func (c *Control) applyShortages(from string, reports map[string]overload.Report) {
	if c.level != nil && len(reports) > 0 {
		c.level.SetReports(clock.Now(), from, reports)
	}
}

// updateLevel tells the admission level which part of the targets is in use, and logs and measures
// the levels in force.
func (c *Control) updateLevel(now time.Time) {
	cfg := c.gateway.Config()
	if c.level == nil || cfg == nil {
		return
	}
	for service := range cfg.Services {
		if cfg.HasTeams() || cfg.Ranks(service) > 1 {
			c.level.SetUtilization(now, service, c.balancer.Utilization(now, service))
		}
	}
	c.monitor.update(now, c.level.Levels(now))
}
