package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/dispatch"
	"github.com/springgate/springgate/mechanism"
)

// hedgeState is the state of a hedge.
type hedgeState uint8

const (
	hedgeIdle     hedgeState = iota // the attempt does not wait for its target
	hedgeAwaiting                   // the attempt waits for its target
	hedgeRunning                    // another target has been asked as well, or is being chosen
	hedgeStopping                   // the attempt's own target has spoken; the other attempt is being cancelled
	hedgeWon                        // the other target has begun to answer first
)

// hedge sends a request to a second target while the first one is silent. The attempt at the first
// target continues until the second target has begun to answer: a target that pauses may go on,
// and it is not known before whether another one has a place and accepts the request.
//
// The attempt's goroutine calls await before and settle after each read from its target. In
// between, the goroutine that runs the second attempt has the exchange to itself. A nil hedge does
// nothing: the request must not be repeated.
type hedge struct {
	a *attempt

	mu      sync.Mutex
	state   hedgeState
	timer   *clock.Timer
	since   time.Time     // when the attempt began to wait
	timeout time.Duration // after which a silent target is hedged
	silent  bool          // the target has been found silent during this wait
	cancel  context.CancelFunc
	done    chan struct{} // closed when the second attempt has ended or won
	winner  *attempt      // set if state is hedgeWon
}

// newHedge returns the hedge of an attempt, or nil if the request must not be repeated.
func newHedge(a *attempt) *hedge {
	if !a.x.route.Idempotent() || a.x.g.cfg.Off.Has(mechanism.LateFirstEvent) {
		return nil
	}
	return &hedge{a: a}
}

// await begins a wait for the target. After timeout without data the target may be hedged.
func (h *hedge) await(timeout time.Duration) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state, h.since, h.timeout, h.silent = hedgeAwaiting, clock.Now(), timeout, false
	if h.timer == nil {
		h.timer = clock.AfterFunc(timeout, h.check)
		return
	}
	h.timer.Reset(timeout)
}

// settle ends a wait. If the target has spoken first, the second attempt is cancelled; if the
// target has failed, settle waits for the second attempt. It returns the second attempt if that
// one is to be relayed.
func (h *hedge) settle(spoke bool) (winner *attempt) {
	if h == nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state == hedgeRunning {
		if spoke {
			h.state = hedgeStopping
			h.cancel()
		}
		done := h.done
		h.mu.Unlock()
		<-done
		h.mu.Lock()
	}
	winner = h.winner
	h.state, h.winner = hedgeIdle, nil
	if winner != nil {
		h.a.x.g.stats.hedgesWon.Inc(1)
	}
	return winner
}

// stop releases the timer when the attempt has ended.
func (h *hedge) stop() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.timer != nil {
		h.timer.Stop()
	}
}

// check runs on the timer's goroutine. It hedges the target if that has been silent for too long.
func (h *hedge) check() {
	ctx, ok := h.begin(clock.Now())
	if !ok {
		return
	}
	h.end(h.a.x.hedge(ctx, h.a))
}

// begin decides whether to hedge the target now.
func (h *hedge) begin(now time.Time) (context.Context, bool) {
	silent := h.a.x.g.balancer.Silent(now, h.a.choice.Target)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state != hedgeAwaiting {
		return nil, false
	}
	if silent && !h.silent && now.Sub(h.since) >= h.timeout {
		h.silent = true
		h.a.x.g.balancer.RecordSilence(now, h.a.choice.Target)
	}
	if wait := h.remaining(now, silent); wait > 0 {
		h.timer.Reset(wait)
		return nil, false
	}
	ctx, cancel := context.WithCancel(h.a.parent)
	h.state, h.cancel, h.done = hedgeRunning, cancel, make(chan struct{})
	return ctx, true
}

// remaining returns the time until the next check, or zero if the target is to be hedged now. A
// target that still sends data of other requests is loaded, and sending the request elsewhere
// would only add load, so it gets more time, up to responsiveLimit.
func (h *hedge) remaining(now time.Time, silent bool) time.Duration {
	waited := now.Sub(h.since)
	if waited < h.timeout {
		return h.timeout - waited
	}
	if !silent && waited < h.a.responsiveLimit() {
		return lateRecheckInterval
	}
	return 0
}

// end records the result of the second attempt; winner is nil if it did not succeed.
func (h *hedge) end(winner *attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	defer close(h.done)
	switch {
	case winner == nil:
		h.cancel()
		if h.state == hedgeRunning {
			h.state = hedgeAwaiting
			h.timer.Reset(lateRecheckInterval)
		}
	case h.state == hedgeRunning:
		h.state, h.winner = hedgeWon, winner
		h.a.cancel(errSilent)
	default:
		h.cancel()
		h.a.x.finish(winner, result{reason: ReasonOvertaken, ran: true, sent: true})
		h.a.x.target, h.a.x.choice = h.a.choice.Instance.ID, h.a.choice
	}
}

// lateRecheckInterval is the time between two checks of a target that is late.
const lateRecheckInterval = 100 * time.Millisecond

// hedge sends the request to one more target while an attempt waits for a silent one. It returns
// an attempt whose target has begun to answer, or nil.
func (x *exchange) hedge(ctx context.Context, silent *attempt) *attempt {
	choice, ok := x.chooseHedge(ctx)
	if !ok {
		return nil
	}
	reason := silent.silenceReason()
	x.retries = append(x.retries, reason)
	x.g.stats.recordRetry(reason)
	x.g.stats.hedged.Inc(1)
	x.g.log.WithFields(logrus.Fields{"request": x.call.ID, "target": silent.choice.Instance.ID, "reason": reason, "other": choice.Instance.ID,
		"sends": x.sends + x.inFlight, "left_ms": clock.Until(x.deadline).Milliseconds(), "budget": x.g.budget(x.service).Left()}).Info("Target is silent, trying another one as well.")
	winner, res := x.open(x.newAttempt(ctx, choice))
	if winner != nil {
		return winner
	}
	x.target, x.choice = silent.choice.Instance.ID, silent.choice
	if !res.sent {
		x.dials++
		x.g.budget(x.service).Refund()
	}
	return nil
}

// chooseHedge selects a target for one more attempt while others are in flight; ok is false if
// there must be none now. A target that is only a last resort is no better than the silent one.
func (x *exchange) chooseHedge(ctx context.Context) (choice dispatch.Choice, ok bool) {
	if !x.mayHedge() {
		return choice, false
	}
	d := x.demand()
	choice, reason := x.place(ctx, d)
	if reason != ReasonNone {
		return choice, false
	}
	if choice.LastResort || ctx.Err() != nil || !x.g.budget(x.service).SpendLeaving(clock.Now(), x.urgency.retryReserve()) {
		x.g.balancer.Cancel(choice.Target, d)
		return choice, false
	}
	return choice, true
}

// mayHedge reports whether the request may be sent once more while attempts are in flight. One
// whose content is quarantined may not, not even as a probe.
func (x *exchange) mayHedge() bool {
	if x.probing || x.contentQuarantined() || x.dials >= maxDials {
		return false
	}
	if x.started && x.g.cfg.Off.Has(mechanism.Resume) {
		return false
	}
	return x.sends+x.inFlight < x.route.MaxAttempts && clock.Until(x.deadline) >= x.g.cfg.MinRemaining &&
		!x.g.budget(x.service).Empty(clock.Now(), x.urgency.retryReserve())
}
