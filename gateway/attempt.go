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

// attempt is one send of a request to a target.
type attempt struct {
	x              *exchange
	choice         dispatch.Choice
	ctx            context.Context
	cancel         context.CancelCauseFunc
	sentAt         time.Time
	pendingPrefill int // prompt tokens that the target has not processed yet
	events         int
	lastEventAt    time.Time // when the last event arrived
	// expiry cancels the request if it has not started when the target's version expires;
	// nil if it may start at any time.
	expiry *clock.Timer
}

// Causes with which an attempt is cancelled by this process.
var (
	errFirstEventLate = errors.New("gateway: first event not received in time")
	errStalled        = errors.New("gateway: stream stalled")
	errVersionExpired = errors.New("gateway: version of the target has expired")
)

func (a *attempt) do(r *targetconn.Request) result {
	var watchdog *clock.Timer
	if a.x.route.Idempotent() && !a.x.g.cfg.Off.Has(mechanism.LateFirstEvent) {
		// Another target may be tried only if the request may be repeated.
		watchdog = clock.AfterFunc(a.x.g.cfg.FirstEventTimeout, func() { a.checkLate(watchdog) })
		defer watchdog.Stop()
	}
	a.expireWithVersion()
	defer a.stopExpiry()
	resp, err := a.x.g.pool.Do(a.ctx, a.choice.Instance.Addr, r, a.idOf)
	if err != nil {
		return a.failure(err)
	}
	defer resp.Close()
	info := a.x.g.dialect.DecodeResponse(resp.StatusCode, resp.Header)
	a.recordNotice(info)
	if info.NotRun {
		return notRun(info)
	}
	if !info.Signed || resp.Header.Get("Content-Encoding") != "" {
		return result{reason: ReasonInvalidResponse, ran: true, sent: true}
	}
	if a.x.route.Kind == fleet.Streaming && resp.StatusCode == http.StatusOK {
		return a.relayStream(resp, watchdog)
	}
	a.stopExpiry()
	return a.relayPlain(resp, watchdog)
}

// expireWithVersion cancels the request if the target serves an older version and has not
// started the request when that version expires. This cannot be decided when the request is
// sent, since it is not known then how long the request will queue at the target. Only a
// request that another target may run is cancelled.
func (a *attempt) expireWithVersion() {
	if a.choice.StartBy.IsZero() || !a.x.route.Idempotent() {
		return
	}
	left := clock.Until(a.choice.StartBy) - a.x.g.cfg.CancelLead
	a.expiry = clock.AfterFunc(left, func() { a.cancel(errVersionExpired) })
}

// stopExpiry stops the version expiry; it is called when the target has started the
// request.
func (a *attempt) stopExpiry() {
	if a.expiry != nil {
		a.expiry.Stop()
	}
}

// lateRecheckInterval is the time between two checks of a target whose first event is
// late.
const lateRecheckInterval = 100 * time.Millisecond

// checkLate decides about a request whose first event is late. A target that still sends
// events of other streams is loaded, and sending the request elsewhere would only add
// load, so the target gets more time, up to firstEventLimit. The attempt at a target that
// sends nothing is cancelled. checkLate runs on the timer's goroutine.
func (a *attempt) checkLate(watchdog *clock.Timer) {
	x := a.x
	now := clock.Now()
	if now.Sub(a.sentAt) < a.firstEventLimit() && !x.g.balancer.Silent(now, a.choice.Target) {
		watchdog.Reset(lateRecheckInterval)
		return
	}
	a.cancel(errFirstEventLate)
}

func (a *attempt) idOf(h http.Header) string { return a.x.g.dialect.DecodeResponse(0, h).ID }

func notRun(info ResponseInfo) result {
	if info.OtherInstance {
		return result{reason: ReasonOtherInstance, sent: true}
	}
	return result{reason: ReasonTargetRefused, sent: true}
}

// failure converts an error of the attempt into a result.
func (a *attempt) failure(err error) result {
	switch {
	case errors.Is(context.Cause(a.ctx), errVersionExpired):
		return result{reason: ReasonVersionExpired, ran: true, sent: true}
	case errors.Is(err, targetconn.ErrDial):
		return result{reason: ReasonDialFailed}
	case errors.Is(context.Cause(a.ctx), errFirstEventLate):
		return result{reason: ReasonLateFirstEvent, ran: true, sent: true, silent: true}
	case errors.Is(context.Cause(a.ctx), errStalled):
		return result{reason: ReasonStalled, ran: true, sent: true, silent: true}
	case a.ctx.Err() != nil:
		return result{reason: ReasonTimeout, ran: true, sent: true, silent: true}
	case errors.Is(err, targetconn.ErrInvalidResponse):
		return result{reason: ReasonInvalidResponse, ran: true, sent: true}
	}
	return result{reason: ReasonConnLost, ran: true, sent: true}
}

// firstEventFactor is how many times the forecast delay the first event of a busy target
// may take.
const firstEventFactor = 4

// firstEventLimit is how long a target that sends events of other streams, or answers other
// requests, may take for the first event or the response before another target is tried.
func (a *attempt) firstEventLimit() time.Duration {
	if a.x.route.Kind != fleet.Streaming {
		return a.plainLimit()
	}
	return max(a.x.g.cfg.FirstEventLimit, firstEventFactor*a.choice.Forecast.FirstEvent)
}

// plainLimit is how long a non-streaming response may take before another target is tried.
func (a *attempt) plainLimit() time.Duration {
	return max(a.choice.Forecast.FirstEvent, a.x.route.Objective) + a.x.g.cfg.FirstEventTimeout
}

// finish reports to the balancer how the attempt ended.
func (a *attempt) finish(res result) {
	r := dispatch.Result{PendingPrefill: a.pendingPrefill, Latency: clock.Since(a.sentAt)}
	switch res.reason {
	case ReasonNone, ReasonTimeout, ReasonCallerGone, ReasonVersionExpired:
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
	a.x.g.balancer.Finish(clock.Now(), a.choice.Target, r)
}
