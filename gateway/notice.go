package gateway

import (
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock"
)

// hearNotice takes what an answer says of the target that gave it. An answer of another
// instance at the address, or one that no target signed, says nothing of it.
func (a *attempt) hearNotice(info AnswerInfo) {
	if info.OtherInstance || !info.Signed && !info.NotRun {
		return
	}
	g, s, t := a.x.g, info.Notice, a.choice.Instance
	if s.Unreadable() {
		g.stats.unreadable.Inc(1)
	}
	changed := g.book.RecordStatement(clock.Now(), t, s, a.began)
	f := logrus.Fields{"target": t.ID, "request": a.x.call.ID}
	if changed.Unreadable {
		g.log.WithFields(f).Warn("Target says of itself what is not readable.")
	}
	if changed.Leaving {
		g.stats.noticed.Inc(1)
		g.log.WithFields(f).Info("Target said that it leaves.")
	}
	if changed.Backoff {
		g.stats.noticed.Inc(1)
		f["rest_ms"] = s.Backoff.Milliseconds()
		g.log.WithFields(f).Info("Target asked for rest.")
	}
	if changed.Limit {
		g.stats.noticed.Inc(1)
		f["limited"], f["limit"] = s.Limit.Declared, s.Limit.PerS
		g.log.WithFields(f).Info("Target's limit heard.")
	}
}
