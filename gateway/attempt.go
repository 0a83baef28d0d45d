package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/springgate/springgate/bounded"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/dispatch"
	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/targetconn"
)

// attempt is one send of a request to a target.
type attempt struct {
	x              *exchange
	choice         dispatch.Choice
	request        *targetconn.Request
	parent         context.Context // of the exchange, or of the hedge that this attempt is
	ctx            context.Context
	cancel         context.CancelCauseFunc
	sentAt         time.Time
	pendingPrefill int // prompt tokens that the target has not processed yet
	hedge          *hedge
	// expiry cancels the request if it has not started when the target's version expires;
	// nil if it may start at any time.
	expiry *clock.Timer

	resp        *targetconn.Response
	stream      *eventReader      // set if the response is a stream
	first       event             // first event of the stream, unless firstErr is set
	firstErr    error             // io.EOF if the stream has no events
	plain       *bufferedResponse // set if the response is complete
	large       []byte            // beginning of a response that reached the buffer limit
	memory      allocation        // of the response
	events      int               // relayed to the caller
	lastEventAt time.Time         // when the last event arrived
	awaitedAt   time.Time         // when the wait for the next event began
	pending     dispatch.Pending  // at the target after the last event
}

// Causes with which an attempt is cancelled by this process.
var (
	errSilent         = errors.New("gateway: target is silent and another one has answered")
	errVersionExpired = errors.New("gateway: version of the target has expired")
)

// newAttempt prepares a send of the request to the chosen target.
func (x *exchange) newAttempt(parent context.Context, c dispatch.Choice) *attempt {
	t := c.Instance
	x.target, x.choice = t.ID, c
	h := forwardHeader(x.r.Header)
	x.g.dialect.EncodeForward(h, ForwardInfo{Instance: t.ID, Team: x.teamName(), Remaining: clock.Until(x.deadline), LastEvent: x.lastEvent,
		Rank: x.urgency.rank, Ranked: x.urgency.differs()})
	x.logSending(c)
	a := &attempt{x: x, choice: c, parent: parent, sentAt: clock.Now(), pendingPrefill: x.call.Prompt,
		request: &targetconn.Request{Method: x.r.Method, URI: x.r.RequestURI, Host: x.r.Host, Header: h, Body: x.body, ID: x.call.ID},
		memory:  allocation{h: x.memory}}
	a.ctx, a.cancel = context.WithCancelCause(parent)
	a.hedge = newHedge(a)
	x.inFlight++
	x.g.cfg.Crashes.BeginRun(clock.Now(), x.subjects)
	x.avoid = append(x.avoid, t.ID)
	return a
}

// open sends the request and waits until the target has begun to answer: until its complete
// response has arrived, or the first event of a stream. It returns the attempt that is ready to be
// relayed, which is another one if the target was silent and has been hedged; nil if there is
// none.
func (x *exchange) open(a *attempt) (ready *attempt, res result) {
	a.hedge.await(x.g.cfg.FirstEventTimeout)
	res = a.receive()
	if winner := a.hedge.settle(res.reason == ReasonNone); winner != nil {
		x.finish(a, a.supersededResult(res))
		return winner, result{}
	}
	if res.reason != ReasonNone {
		x.finish(a, res)
		return nil, res
	}
	return a, result{}
}

// receive sends the request and reads the beginning of the response. The reason of the result is
// ReasonNone if the response may be relayed.
func (a *attempt) receive() result {
	a.expireWithVersion()
	defer a.stopExpiry()
	resp, err := a.x.g.pool.Do(a.ctx, a.choice.Instance.Addr, a.request, a.idOf)
	if err != nil {
		return a.failure(err)
	}
	a.resp = resp
	info := a.x.g.dialect.DecodeResponse(resp.StatusCode, resp.Header)
	a.recordNotice(info)
	if info.NotRun {
		return notRun(info)
	}
	if !info.Signed || resp.Header.Get("Content-Encoding") != "" {
		return result{reason: ReasonInvalidResponse, ran: true, sent: true}
	}
	if a.x.route.Kind == fleet.Streaming && resp.StatusCode == http.StatusOK {
		return a.receiveFirstEvent()
	}
	a.stopExpiry()
	return a.receivePlain()
}

// relay relays an attempt that is ready. It returns the attempt that is to be relayed next, if the
// target fell silent and was hedged.
func (a *attempt) relay() (next *attempt, res result) {
	switch {
	case a.stream != nil:
		return a.relayStream()
	case a.large != nil:
		return nil, a.relayLarge()
	}
	return nil, a.relayPlain()
}

// supersededResult returns the result of an attempt whose hedge has won. res is how the attempt
// itself ended meanwhile.
func (a *attempt) supersededResult(res result) result {
	if res.reason != ReasonNone {
		return res
	}
	return result{reason: a.silenceReason(), ran: true, sent: true, silent: true}
}

// silenceReason is the reason of an attempt whose target is silent.
func (a *attempt) silenceReason() Reason {
	if a.events > 0 {
		return ReasonStalled
	}
	return ReasonLateFirstEvent
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

func (a *attempt) idOf(h http.Header) string { return a.x.g.dialect.DecodeResponse(0, h).ID }

func notRun(info ResponseInfo) result {
	if info.OtherInstance {
		return result{reason: ReasonOtherInstance, sent: true}
	}
	return result{reason: ReasonTargetRefused, sent: true}
}

// failure converts an error of the attempt into a result.
func (a *attempt) failure(err error) result {
	sent := !errors.Is(err, targetconn.ErrDial)
	res := result{ran: sent, sent: sent}
	switch {
	case errors.Is(err, bounded.ErrNoMemory):
		res.reason = ReasonNoMemory
	case errors.Is(context.Cause(a.ctx), errVersionExpired):
		res.reason = ReasonVersionExpired
	case errors.Is(context.Cause(a.ctx), errSilent):
		res.reason, res.silent = a.silenceReason(), sent
	case a.ctx.Err() != nil:
		res.reason, res.silent = endReason(a.ctx), sent
	case !sent:
		res.reason = ReasonDialFailed
	case errors.Is(err, targetconn.ErrInvalidResponse):
		res.reason = ReasonInvalidResponse
	default:
		res.reason = ReasonConnLost
	}
	return res
}

// firstEventFactor is how many times the forecast delay the first event of a busy target
// may take.
const firstEventFactor = 4

// responsiveLimit is how long a target that sends events of other streams, or answers other
// requests, may send nothing before another target is tried.
func (a *attempt) responsiveLimit() time.Duration {
	if a.x.route.Kind != fleet.Streaming {
		return a.plainLimit()
	}
	if a.events > 0 {
		return max(a.x.g.cfg.StallLimit, stallFactor*a.choice.Forecast.Gap)
	}
	return max(a.x.g.cfg.FirstEventLimit, firstEventFactor*a.choice.Forecast.FirstEvent)
}

// plainLimit is how long a non-streaming response may take before another target is tried.
func (a *attempt) plainLimit() time.Duration {
	return max(a.choice.Forecast.FirstEvent, a.x.route.Objective) + a.x.g.cfg.FirstEventTimeout
}

// finish ends an attempt and records its result.
func (x *exchange) finish(a *attempt, res result) {
	a.hedge.stop()
	if a.resp != nil {
		a.resp.Close()
	}
	a.cancel(nil)
	if res.held == nil {
		a.memory.Shrink(a.memory.bytes)
	}
	x.inFlight--
	if res.sent {
		if x.sends > 0 {
			x.g.stats.resent.Inc(1)
		}
		x.sends++
	}
	if res.reason == ReasonNone {
		x.g.runTimes.observe(x.route.Name, clock.Since(a.sentAt))
	}
	probe := x.probing
	x.ran, x.probing = x.ran || res.ran, false
	if res.held != nil {
		x.held = res.held
	}
	a.report(res)
	switch {
	case res.reason == ReasonConnLost || res.reason == ReasonBrokenStream:
		x.recordLostConnection(a.parent, a.choice, a.sentAt)
	case res.reason == ReasonNone || res.held != nil:
		x.recordSuccess(a, res, probe)
	}
	x.g.cfg.Crashes.EndRun(clock.Now(), x.subjects)
}

// report tells the balancer how the attempt ended.
func (a *attempt) report(res result) {
	r := dispatch.Result{PendingPrefill: a.pendingPrefill, Latency: clock.Since(a.sentAt), Kind: a.x.route.Name}
	switch res.reason {
	case ReasonNone, ReasonTimeout, ReasonStopping, ReasonCallerGone, ReasonVersionExpired, ReasonOvertaken, ReasonNoMemory, ReasonReaderStalled:
	case ReasonTargetRefused:
		r.Latency = 0
	case ReasonOtherInstance:
		r.Misdirected, r.Basis = true, a.choice.Basis
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
