package gateway

import (
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock"
)

// recordNotice records the notice (back-off, rate limit or departure) that a target
// attached to its response. A response of another instance at the address, or one that is
// not signed by a target, says nothing about the target. A response that states that the
// request did not run needs no signature.
func (a *attempt) recordNotice(info ResponseInfo) {
	if info.OtherInstance || !info.Signed && !info.NotRun {
		return
	}
	g, s, t := a.x.g, info.Notice, a.choice.Instance
	if s.Unreadable() {
		g.stats.unreadableNotices.Inc(1)
	}
	changed := g.balancer.RecordStatement(clock.Now(), t, s, a.sentAt)
	f := logrus.Fields{"target": t.ID, "request": a.x.call.ID}
	if changed.Unreadable {
		g.log.WithFields(f).Warn("Notice of the target is not readable.")
	}
	if changed.Leaving {
		g.stats.notices.Inc(1)
		g.log.WithFields(f).Info("Target announced that it is leaving.")
	}
	if changed.Backoff {
		g.stats.notices.Inc(1)
		f["rest_ms"] = s.Backoff.Milliseconds()
		g.log.WithFields(f).Info("Target requested a back-off.")
	}
	if changed.Limit {
		g.stats.notices.Inc(1)
		f["limited"], f["limit"] = s.Limit.Declared, s.Limit.PerS
		g.log.WithFields(f).Info("Request rate limit of the target changed.")
	}
}
