package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/dispatch"
	"github.com/springgate/springgate/loop"
	"github.com/springgate/springgate/mechanism"
	"github.com/springgate/springgate/quarantine"
)

// fingerprint returns the fingerprint of the request's content. All API keys of a team
// count as one caller.
func (x *exchange) fingerprint() quarantine.Fingerprint {
	caller := x.call.Key
	if x.team != nil {
		caller = x.team.Name
	}
	return x.g.cfg.Hasher.Fingerprint(quarantine.Content{Caller: caller, Method: x.r.Method, Host: x.r.Host,
		URI: x.r.RequestURI, Body: x.body})
}

// quarantined reports whether the request is refused because targets crash when they run
// it. It is called before each send, since other entries may have observed a crash since
// the preceding one.
func (x *exchange) quarantined() bool {
	if x.probing || x.g.cfg.Off.Has(mechanism.Quarantine) {
		return false
	}
	home := func() bool { return x.g.cfg.Probes(x.content) }
	verdict, finding := x.g.cfg.Crashes.Judge(clock.Now(), x.content, home)
	if verdict == quarantine.Send {
		return false
	}
	x.finding, x.probing = &finding, verdict == quarantine.Probe
	return verdict == quarantine.Refuse
}

// contentQuarantined reports whether the request's content is quarantined now. Unlike quarantined
// it never makes the request a probe.
func (x *exchange) contentQuarantined() bool {
	if x.g.cfg.Off.Has(mechanism.Quarantine) {
		return false
	}
	verdict, _ := x.g.cfg.Crashes.Judge(clock.Now(), x.content, func() bool { return false })
	return verdict != quarantine.Send
}

// logFinding adds what is known about a quarantined request to a log record.
func logFinding(f logrus.Fields, x *quarantine.Finding, now time.Time) {
	f["ended"], f["first_age_ms"], f["last_age_ms"] = x.Crashes, now.Sub(x.First).Milliseconds(), now.Sub(x.Last).Milliseconds()
	f["seen_by"], f["again_in_ms"] = x.Reporters, x.ProbeAt.Sub(now).Milliseconds()
}

// recordLostConnection records that the connection to a target broke during the request.
// If the target has ended, it waits for crashes of the same content that other entries
// observed at the same moment.
func (x *exchange) recordLostConnection(ctx context.Context, c dispatch.Choice, sent time.Time) {
	if !x.g.balancer.Serving(c.Target) || !x.g.crashDetector.connectionLost(ctx, c.Instance, x.content, sent, clock.Now()) {
		return
	}
	x.g.stats.lostWithTarget.Inc(1)
	loop.Sleep(ctx, crashReportWait)
}

// recordSuccess records that a target has completed a run of the request.
func (x *exchange) recordSuccess(c dispatch.Choice, sent time.Time) {
	x.g.cfg.Crashes.RecordSuccess(clock.Now(), x.content)
	x.g.crashDetector.recordAnswer(c.Instance, sent)
}
