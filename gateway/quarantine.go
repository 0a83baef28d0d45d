package gateway

import (
	"context"
	"slices"
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
	return x.g.cfg.Hasher.Fingerprint(quarantine.Content{Caller: x.callerName(), Method: x.r.Method, Host: x.r.Host,
		URI: x.r.RequestURI, Body: x.body})
}

// callerName returns the name of the caller's team, or the API key where there are no teams.
func (x *exchange) callerName() string {
	if x.team != nil {
		return x.team.Name
	}
	return x.call.Key
}

// quarantineSubjects returns what may be quarantined of the request: its content, the parts of its prompt
// in their order, and the further parts together if not all are listed.
func (x *exchange) quarantineSubjects() []quarantine.Fingerprint {
	out := make([]quarantine.Fingerprint, 0, 2+len(x.call.Parts))
	out = append(out, x.content)
	for _, id := range x.call.Parts {
		out = append(out, x.g.cfg.Hasher.Part(x.service, id))
	}
	if x.call.MoreParts {
		out = append(out, x.g.cfg.Hasher.FurtherParts(x.service, x.callerName()))
	}
	return out
}

// quarantined returns why the request is refused if targets crash when they run it, or may do so. It
// is called before each send, since other entries may have observed a crash since the preceding one.
func (x *exchange) quarantined() Reason {
	if x.probing || x.g.cfg.Off.Has(mechanism.Quarantine) {
		return ReasonNone
	}
	verdict, finding := x.g.cfg.Crashes.Judge(clock.Now(), x.subjects, x.g.cfg.Probes)
	if verdict == quarantine.Send {
		return ReasonNone
	}
	x.finding, x.probing = &finding, verdict == quarantine.Probe
	switch verdict {
	case quarantine.Refuse:
		return ReasonCrashesTargets
	case quarantine.Hold:
		x.nextFreeAt = finding.ProbeAt
		return ReasonSuspected
	}
	return ReasonNone
}

// contentQuarantined reports whether the request's content, or a part of its prompt, is quarantined now. Unlike quarantined
// it never makes the request a probe.
func (x *exchange) contentQuarantined() bool {
	if x.g.cfg.Off.Has(mechanism.Quarantine) {
		return false
	}
	verdict, _ := x.g.cfg.Crashes.Judge(clock.Now(), x.subjects, func(quarantine.Fingerprint) bool { return false })
	return verdict != quarantine.Send
}

// findings returns what is quarantined now.
func (g *Gateway) findings() map[quarantine.Fingerprint]quarantine.Finding {
	if g.cfg.Off.Has(mechanism.Quarantine) {
		return nil
	}
	return g.cfg.Crashes.Findings(clock.Now())
}

// logFinding adds what is known about the quarantined request to a log record.
func (x *exchange) logFinding(f logrus.Fields, now time.Time) {
	addFinding(f, *x.finding, now)
	switch i := slices.Index(x.subjects, x.finding.Subject); {
	case i > len(x.call.Parts):
		f["prompt_part"] = "further"
	case i > 0:
		f["prompt_part"] = x.call.Parts[i-1]
	}
}

// addFinding adds a finding to a log record.
func addFinding(f logrus.Fields, x quarantine.Finding, now time.Time) {
	f["subject"] = x.Subject.String()
	f["ended"], f["first_age_ms"], f["last_age_ms"] = x.Crashes, now.Sub(x.First).Milliseconds(), now.Sub(x.Last).Milliseconds()
	f["seen_by"], f["again_in_ms"] = x.Reporters, x.ProbeAt.Sub(now).Milliseconds()
	f["certain"], f["evidence"] = x.Certain, rounded(x.Evidence)
}

// recordLostConnection records that the connection to a target broke during the request.
// If the target has ended, it waits for crashes of the same content that other entries
// observed at the same moment.
func (x *exchange) recordLostConnection(ctx context.Context, c dispatch.Choice, sent time.Time) {
	if !x.g.balancer.Serving(c.Target) || !x.g.crashDetector.connectionLost(ctx, c.Instance, x.subjects, sent, clock.Now()) {
		return
	}
	x.g.stats.lostWithTarget.Inc(1)
	loop.Sleep(ctx, crashReportWait)
}

// recordSuccess records that a target has completed a run of the request. An answer says something
// about the parts of the prompt only if the target has written it for the whole prompt: one that
// fails may have been made without regard to them. It says nothing about the further parts of other
// requests, unless it was a probe.
func (x *exchange) recordSuccess(a *attempt, res result, probe bool) {
	proven := []quarantine.Fingerprint{x.content}
	if res.reason == ReasonNone && a.answersPrompt() {
		proven = x.subjects[:1+len(x.call.Parts)]
		if probe {
			proven = x.subjects
		}
	}
	x.g.cfg.Crashes.RecordSuccess(clock.Now(), proven...)
	x.g.crashDetector.recordAnswer(a.choice.Instance, a.sentAt)
}

// answersPrompt reports whether a complete response is an answer to the prompt of the request.
func (a *attempt) answersPrompt() bool {
	return a.resp != nil && a.resp.StatusCode/100 == 2 && (a.stream == nil || a.events > 0)
}
