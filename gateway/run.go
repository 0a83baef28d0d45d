package gateway

import (
	"context"
	"net/http"

	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/dispatch"
	"github.com/springgate/springgate/mechanism"
	"github.com/springgate/springgate/targetconn"
)

// maxDials bounds how many unreachable targets one request tries.
const maxDials = 4

// result is how one send ended.
type result struct {
	reason Reason // ReasonNone if the answer was passed on
	ran    bool   // the target may have run the request
	sent   bool   // the request left this process
	silent bool   // the target sent nothing at the end
	// held is a whole failure of the target that may be passed on if no other
	// target does better.
	held *heldAnswer
}

// run sends the request until it is answered, or gives it up.
func (x *exchange) run(ctx context.Context) {
	x.g.budget(x.service).Success()
	var held *heldAnswer
	for {
		choice, reason := x.choose(ctx)
		if reason != ReasonNone {
			x.giveUp(reason, held)
			return
		}
		res := x.send(ctx, choice)
		if res.reason == ReasonNone {
			x.answered()
			return
		}
		x.ran = x.ran || res.ran
		if res.held != nil {
			held = res.held
		}
		if reason := x.mayRetry(ctx, res); reason != ReasonNone {
			x.giveUp(reason, held)
			return
		}
		x.retries = append(x.retries, res.reason)
		x.g.stats.triedAgain(res.reason)
		x.g.log.WithFields(logrus.Fields{"request": x.call.ID, "target": choice.Instance.ID, "reason": res.reason,
			"ran": res.ran, "sends": x.sends, "left_ms": clock.Until(x.deadline).Milliseconds()}).Info("Trying again.")
	}
}

// choose finds a target for the next send.
func (x *exchange) choose(ctx context.Context) (dispatch.Choice, Reason) {
	if x.quarantined() {
		return dispatch.Choice{}, ReasonEndsTargets
	}
	d := x.demand()
	choice, reason := x.place(ctx, d)
	// While it waited for a place, others may have seen more.
	if reason == ReasonNone && x.quarantined() {
		x.g.book.Cancel(choice.Target, d)
		return choice, ReasonEndsTargets
	}
	return choice, reason
}

func (x *exchange) answered() {
	took := clock.Since(x.start)
	x.g.stats.answered.Inc(1)
	observe(x.g.stats.whole, took)
	observe(x.g.stats.waited, x.waited)
	x.logEnd(http.StatusOK, ReasonNone)
}

// giveUp ends the request: with a failure that a target answered, or ours.
func (x *exchange) giveUp(reason Reason, held *heldAnswer) {
	if x.r.Context().Err() != nil {
		x.g.stats.failed(ReasonCallerGone)
		x.logEnd(0, ReasonCallerGone)
		panic(http.ErrAbortHandler)
	}
	if held != nil && !x.started && reason != ReasonEndsTargets {
		x.g.stats.failed(reason)
		x.logEnd(held.status, reason)
		held.write(x.w)
		return
	}
	x.refuse(reason)
}

// mayRetry decides whether a request that failed at one target goes to
// another; the result is the reason why not.
func (x *exchange) mayRetry(ctx context.Context, res result) Reason {
	if res.reason == ReasonCallerGone {
		return res.reason
	}
	if ctx.Err() != nil || clock.Until(x.deadline) < x.g.cfg.MinLeft {
		return ReasonTimeout
	}
	if res.ran && (!x.route.Idempotent() || x.started && x.g.cfg.Off.Has(mechanism.Resume)) {
		return res.reason
	}
	if !res.sent {
		x.dials++
		if x.dials >= maxDials {
			return res.reason
		}
		return ReasonNone
	}
	if x.sends >= x.route.MaxAttempts {
		return res.reason
	}
	if !x.g.budget(x.service).Spend(clock.Now()) {
		return ReasonBudget
	}
	return ReasonNone
}

// send passes the request to one target and its answer to the caller.
func (x *exchange) send(ctx context.Context, c dispatch.Choice) result {
	t := c.Instance
	x.target, x.choice = t.ID, c
	h := forwardHeader(x.r.Header)
	x.g.dialect.EncodeSend(h, Send{Instance: t.ID, Team: x.teamName(), Remaining: clock.Until(x.deadline), LastEvent: x.lastEvent})
	x.logSending(c)
	a := &attempt{x: x, choice: c, began: clock.Now(), unread: x.call.Prompt}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	defer a.cancel(nil)
	res := a.do(&targetconn.Request{Method: x.r.Method, URI: x.r.RequestURI, Host: x.r.Host, Header: h, Body: x.body, ID: x.call.ID})
	if res.sent {
		x.sends++
	}
	x.avoid, x.probing = append(x.avoid, t.ID), false
	a.finish(res)
	switch {
	case res.reason == ReasonConnLost || res.reason == ReasonBrokenStream:
		x.lostAt(ctx, c, a.began)
	case res.reason == ReasonNone || res.held != nil:
		x.survived(c, a.began)
	}
	return res
}

// logSending writes the line that says where a request goes and by what. With the
// revision of the target's entry, and revision and age of the copy of the store, it
// tells news that were lost (a young copy beyond the target's last change) from news
// that were late (an old copy) and from a request that was long on its way.
func (x *exchange) logSending(c dispatch.Choice) {
	listed := x.g.cfg.Copy()
	f := logrus.Fields{"request": x.call.ID, "target": c.Instance.ID, "addr": c.Instance.Addr, "load": c.Load.Requests,
		"unread": c.Load.PendingPrefill, "forecast_ms": c.Forecast.FirstEvent.Milliseconds(), "wait_ms": x.waited.Milliseconds(),
		"send": x.sends + 1, "content": x.content.String(), "entry": c.EntryRevision, "copy": listed.Revision, "copy_age_ms": listed.Age.Milliseconds()}
	if c.Unlisted {
		f["doubtful"] = true
	}
	if c.Limit.Declared {
		f["limit"] = c.Limit.PerS
	}
	x.g.log.WithFields(f).Info("Sending.")
}

func (x *exchange) teamName() string {
	if x.team == nil {
		return ""
	}
	return x.team.Name
}
