package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/dispatch"
	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/mechanism"
	"github.com/springgate/springgate/targetconn"
)

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
	// expiry takes the request back if it has not begun by then; nil if it may begin at
	// any time.
	expiry *clock.Timer
}

// Causes of an attempt's end by our own clock.
var (
	errFirstEventLate = errors.New("gateway: first event is late")
	errStalled        = errors.New("gateway: stream stalled")
	errVersionOver    = errors.New("gateway: time of the target's version is over")
)

func (a *attempt) do(r *targetconn.Request) result {
	var watchdog *clock.Timer
	if a.x.route.Idempotent() && !a.x.g.cfg.Off.Has(mechanism.LateFirstEvent) {
		// Only then another target may be tried.
		watchdog = clock.AfterFunc(a.x.g.cfg.FirstEventTimeout, func() { a.late(watchdog) })
		defer watchdog.Stop()
	}
	a.expireWithVersion()
	defer a.begun()
	resp, err := a.x.g.pool.Do(a.ctx, a.choice.Instance.Addr, r, a.idOf)
	if err != nil {
		return a.failed(err)
	}
	defer resp.Close()
	info := a.x.g.dialect.DecodeAnswer(resp.StatusCode, resp.Header)
	a.hearNotice(info)
	if info.NotRun {
		return notRun(info)
	}
	if !info.Signed || resp.Header.Get("Content-Encoding") != "" {
		return result{reason: ReasonGarbled, ran: true, sent: true}
	}
	if a.x.route.Kind == fleet.Streaming && resp.StatusCode == http.StatusOK {
		return a.stream(resp, watchdog)
	}
	a.begun()
	return a.plain(resp, watchdog)
}

// expireWithVersion takes the request back from a target that serves an older version,
// if it has not begun there when that must not be served any more: how long it waits at
// the target is not known when it is sent. Only a request that another target may run
// is taken back.
func (a *attempt) expireWithVersion() {
	if a.choice.StartBy.IsZero() || !a.x.route.Idempotent() {
		return
	}
	left := clock.Until(a.choice.StartBy) - a.x.g.cfg.TakeBack
	a.expiry = clock.AfterFunc(left, func() { a.cancel(errVersionOver) })
}

// begun notes that the target has begun with the request.
func (a *attempt) begun() {
	if a.expiry != nil {
		a.expiry.Stop()
	}
}

// lateRecheck is the time between two looks at a late target.
const lateRecheck = 100 * time.Millisecond

// late decides about a request whose target is late. One that still sends events
// of other streams is loaded, and sending the request elsewhere would only add
// load; one that is silent is left. It runs on the timer's goroutine.
func (a *attempt) late(watchdog *clock.Timer) {
	x := a.x
	now := clock.Now()
	if now.Sub(a.began) < a.firstEventLimit() && !x.g.book.Silent(now, a.choice.Target) {
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
	case errors.Is(context.Cause(a.ctx), errVersionOver):
		return result{reason: ReasonVersionOver, ran: true, sent: true}
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

// firstEventFactor is how many times longer than forecast the first event of a
// busy target may take.
const firstEventFactor = 4

// firstEventLimit is how long a target that sends events of other streams, or
// answers other requests, may take before another is asked.
func (a *attempt) firstEventLimit() time.Duration {
	if a.x.route.Kind != fleet.Streaming {
		return a.plainLimit()
	}
	return max(a.x.g.cfg.FirstEventLimit, firstEventFactor*a.choice.Forecast.FirstEvent)
}

// plainLimit is how long an answer that is no stream may take before another
// target is asked.
func (a *attempt) plainLimit() time.Duration {
	return max(a.choice.Forecast.FirstEvent, a.x.route.Objective) + a.x.g.cfg.FirstEventTimeout
}

// finish tells the book how the attempt ended.
func (a *attempt) finish(res result) {
	r := dispatch.Result{PendingPrefill: a.unread, Latency: clock.Since(a.began)}
	switch res.reason {
	case ReasonNone, ReasonTimeout, ReasonCallerGone, ReasonVersionOver:
	case ReasonTargetRefused:
		r.Latency = 0
	case ReasonOtherInstance:
		r.Replaced = true
	case ReasonDialFailed:
		r.ConnectFailed = true
	default:
		r.Failed = true
	}
	if res.reason != ReasonNone {
		r.Latency = 0
	}
	r.Silent = res.silent
	r.ConnectionLost = res.reason == ReasonConnLost || res.reason == ReasonBrokenStream
	a.x.g.book.Finish(clock.Now(), a.choice.Target, r)
}
