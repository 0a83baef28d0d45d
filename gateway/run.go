package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/dispatch"
	"github.com/springgate/springgate/fleet"
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
		choice, reason := x.place(ctx)
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
		x.g.log.WithFields(logrus.Fields{"request": x.call.ID, "target": choice.Target.ID, "reason": res.reason,
			"ran": res.ran, "sends": x.sends, "left_ms": time.Until(x.deadline).Milliseconds()}).Info("Trying again.")
	}
}

func (x *exchange) answered() {
	took := time.Since(x.start)
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
	if held != nil && !x.started {
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
	if ctx.Err() != nil || time.Until(x.deadline) < x.g.cfg.MinLeft {
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
	if !x.g.budget(x.service).Spend(time.Now()) {
		return ReasonBudget
	}
	return ReasonNone
}

// place waits until a target can serve the request in time.
func (x *exchange) place(ctx context.Context) (dispatch.Choice, Reason) {
	d := x.demand()
	began := time.Now()
	if x.sends == 0 {
		x.tightest = x.g.book.Arrived(began, x.service, d)
	}
	patience := time.NewTimer(x.patience())
	defer patience.Stop()
	for {
		changed := x.g.book.Changed()
		choice, verdict := x.g.book.Pick(time.Now(), x.service, d, x.avoid)
		if verdict == dispatch.Chosen && !x.g.homes.Reserve(ctx, choice, d.Prompt) {
			x.g.book.Cancel(choice.Target, d)
			x.denied++
			verdict = dispatch.Saturated
		}
		if verdict == dispatch.Chosen {
			x.waited += time.Since(began)
			return choice, ReasonNone
		}
		select {
		case <-changed:
		case <-patience.C:
			x.waited += time.Since(began)
			x.logUnplaced(verdict, choice)
			if verdict == dispatch.Saturated {
				x.g.book.Refused(time.Now(), x.service, d)
			}
			return choice, reasonOf(verdict)
		case <-ctx.Done():
			x.waited += time.Since(began)
			return choice, ReasonTimeout
		}
	}
}

// demand is what the request asks of a target now.
func (x *exchange) demand() dispatch.Demand {
	d := dispatch.Demand{Prompt: x.call.Prompt, Objective: x.route.Objective, MaxGap: x.route.MaxGap, Domain: x.g.cfg.Domain}
	switch {
	case x.started:
		d.Standing = dispatch.Resumed
	case x.returning && !x.g.cfg.Off.Has(mechanism.OverdueLast):
		d.Standing = dispatch.Overdue
	}
	return d
}

func reasonOf(v dispatch.Verdict) Reason {
	if v == dispatch.Saturated {
		return ReasonSaturated
	}
	return ReasonNoTarget
}

func (x *exchange) logUnplaced(v dispatch.Verdict, c dispatch.Choice) {
	f := logrus.Fields{"request": x.call.ID, "service": x.service, "verdict": v.String(), "avoid": len(x.avoid)}
	if c.Target != nil {
		f["target"], f["load"], f["unread"] = c.Target.ID, c.Load.Requests, c.Load.Unread
		f["forecast_ms"] = c.Forecast.FirstEvent.Milliseconds()
	}
	x.g.log.WithFields(f).Info("No target in time.")
}

// patience is how long the request may wait for a target now.
func (x *exchange) patience() time.Duration {
	if x.sends > 0 {
		return min(x.g.cfg.RetryPatience, time.Until(x.deadline))
	}
	if x.returning {
		return 0
	}
	if x.g.cfg.Off.Has(mechanism.Patience) {
		return 0
	}
	limit := time.Duration(x.g.cfg.Patience * float64(x.tightest))
	return max(min(limit-time.Since(x.start), time.Until(x.deadline)), 0)
}

// send passes the request to one target and its answer to the caller.
func (x *exchange) send(ctx context.Context, c dispatch.Choice) result {
	t := c.Target
	x.target, x.choice = t.ID, c
	h := forwardHeader(x.r.Header)
	x.g.dialect.EncodeSend(h, Send{Instance: t.ID, Team: x.teamName(), Remaining: time.Until(x.deadline), LastEvent: x.lastEvent})
	x.g.log.WithFields(logrus.Fields{"request": x.call.ID, "target": t.ID, "addr": t.Addr, "load": c.Load.Requests,
		"unread": c.Load.Unread, "forecast_ms": c.Forecast.FirstEvent.Milliseconds(), "wait_ms": x.waited.Milliseconds(), "send": x.sends + 1}).Info("Sending.")
	a := &attempt{x: x, choice: c, began: time.Now(), unread: x.call.Prompt}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	defer a.cancel(nil)
	res := a.do(&targetconn.Request{Method: x.r.Method, URI: x.r.RequestURI, Host: x.r.Host, Header: h, Body: x.body, ID: x.call.ID})
	if res.sent {
		x.sends++
	}
	x.avoid = append(x.avoid, t.ID)
	a.finish(res)
	return res
}

func (x *exchange) teamName() string {
	if x.team == nil {
		return ""
	}
	return x.team.Name
}

// attempt is one send.
type attempt struct {
	x      *exchange
	choice dispatch.Choice
	ctx    context.Context
	cancel context.CancelCauseFunc
	began  time.Time
	unread int // prompt tokens that the target has not read yet
	events int
	lastAt time.Time // when the last event came
}

// Causes of an attempt's end by our own clock.
var (
	errFirstEventLate = errors.New("gateway: first event is late")
	errStalled        = errors.New("gateway: stream stalled")
)

func (a *attempt) do(r *targetconn.Request) result {
	var watchdog *time.Timer
	if a.x.route.Idempotent() && !a.x.g.cfg.Off.Has(mechanism.LateFirstEvent) {
		// Only then another target may be tried.
		watchdog = time.AfterFunc(a.x.g.cfg.FirstEventTimeout, func() { a.late(watchdog) })
		defer watchdog.Stop()
	}
	resp, err := a.x.g.pool.Do(a.ctx, a.choice.Target.Addr, r, a.idOf)
	if err != nil {
		return a.failed(err)
	}
	defer resp.Close()
	info := a.x.g.dialect.DecodeAnswer(resp.StatusCode, resp.Header)
	if info.NotRun {
		return notRun(info)
	}
	if !info.Signed || resp.Header.Get("Content-Encoding") != "" {
		return result{reason: ReasonGarbled, ran: true, sent: true}
	}
	if a.x.route.Kind == fleet.Streaming && resp.StatusCode == http.StatusOK {
		return a.stream(resp, watchdog)
	}
	return a.plain(resp, watchdog)
}

// lateRecheck is the time between two looks at a late target.
const lateRecheck = 100 * time.Millisecond

// late decides about a request whose target is late. One that still sends events
// of other streams is loaded, and sending the request elsewhere would only add
// load; one that is silent is left. It runs on the timer's goroutine.
func (a *attempt) late(watchdog *time.Timer) {
	x := a.x
	now := time.Now()
	limit := x.g.cfg.FirstEventLimit
	if x.route.Kind != fleet.Streaming {
		limit = a.plainLimit()
	}
	if now.Sub(a.began) < limit && !x.g.book.Silent(now, a.choice.Target) {
		watchdog.Reset(lateRecheck)
		return
	}
	a.cancel(errFirstEventLate)
}

func (a *attempt) idOf(h http.Header) string { return a.x.g.dialect.DecodeAnswer(0, h).ID }

func notRun(info AnswerInfo) result {
	if info.OtherInstance {
		return result{reason: ReasonOtherInstance, sent: true}
	}
	return result{reason: ReasonTargetRefused, sent: true}
}

// failed turns an error of an exchange into a result.
func (a *attempt) failed(err error) result {
	switch {
	case errors.Is(err, targetconn.ErrDial):
		return result{reason: ReasonDialFailed}
	case errors.Is(context.Cause(a.ctx), errFirstEventLate):
		return result{reason: ReasonSlowStart, ran: true, sent: true, silent: true}
	case errors.Is(context.Cause(a.ctx), errStalled):
		return result{reason: ReasonStalled, ran: true, sent: true, silent: true}
	case a.ctx.Err() != nil:
		return result{reason: ReasonTimeout, ran: true, sent: true, silent: true}
	case errors.Is(err, targetconn.ErrGarbled):
		return result{reason: ReasonGarbled, ran: true, sent: true}
	}
	return result{reason: ReasonConnLost, ran: true, sent: true}
}

// plainLimit is how long an answer that is no stream may take before another
// target is asked.
func (a *attempt) plainLimit() time.Duration {
	return max(a.choice.Forecast.FirstEvent, a.x.route.Objective) + a.x.g.cfg.FirstEventTimeout
}

// finish tells the book how the attempt ended.
func (a *attempt) finish(res result) {
	r := dispatch.Result{Unread: a.unread, Latency: time.Since(a.began)}
	switch res.reason {
	case ReasonNone, ReasonTimeout, ReasonCallerGone:
	case ReasonTargetRefused:
		r.Latency = 0
	case ReasonOtherInstance:
		r.Gone = true
	case ReasonDialFailed:
		r.Down = true
	default:
		r.Failed = true
	}
	if res.reason != ReasonNone {
		r.Latency = 0
	}
	r.Silent = res.silent
	a.x.g.book.Finish(time.Now(), a.choice.Target, r)
}
