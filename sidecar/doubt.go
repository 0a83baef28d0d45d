package sidecar

import (
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/fleet"
)

// LoadOrder instructs an engine to load the pieces that are staged on it.
type LoadOrder struct {
	Model   string
	Version int
	// Layers are the layers that the engine is to hold; the zero value is all of them. The
	// engine keeps those that it holds of the version and drops the others.
	Layers LayerRange
	// Precondition is the Sequence of the report on which the order is based. An engine
	// that has begun another order since that report refuses this one.
	Precondition int64
	// Token is the fencing token, which increases with each order. An engine that has seen
	// a higher token refuses the order.
	Token uint64
}

// Errors of a LoadOrder. Any other error means that the order has not taken effect
// and never will.
var (
	// ErrOrderInDoubt is returned if the outcome is unknown, for example because no
	// answer was received. The order may have taken effect, or may still do so.
	ErrOrderInDoubt = errors.New("sidecar: outcome of load order is unknown")
	// ErrOrderStale is returned if the engine's state differs from the one on which
	// the order is based.
	ErrOrderStale = errors.New("sidecar: load order refused: engine state has changed")
	// ErrOrderFenced is returned if the engine has seen a higher token. No order
	// with a lower token can take effect any more.
	ErrOrderFenced = errors.New("sidecar: load order refused: fencing token is too low")
)

// fenceAheadMs is how far the tokens are ahead of the clock after the first attempt to
// fence orders of the previous agent, the process that managed the engine before this one.
// Its orders may not have reached the engine yet, and their tokens exceed the current time
// if its clock was ahead. Clocks are stepped by seconds.
const fenceAheadMs = 60_000

// previousAgentAttempts is the number of attempts to fence the previous agent's orders, or
// to identify them from the staged pieces, before the sidecar falls back to the next
// method: identification after fencing, and waiting for OrderGrace after identification.
// Engines may ignore tokens, and the staged version may be so old that its manifest is no
// longer available.
const previousAgentAttempts = 3

// firstRaiseMs is how far the tokens are raised when the engine first refuses one as too
// low. The step doubles with each further refusal, so that an agent whose clock was stepped
// back by seconds exceeds the tokens of the previous agent in a few attempts.
const firstRaiseMs = 1000

// tokens generates fencing tokens. They follow the Unix time in ms, so the tokens of
// an agent are higher than those of the previous agent.
type tokens struct{ last, raisedBy uint64 }

func (t *tokens) next(now time.Time) uint64 {
	t.last = max(t.last+1, uint64(now.UnixMilli()))
	return t.last
}

// raiseAbovePrevious raises the following tokens above those of the previous agent.
func (t *tokens) raiseAbovePrevious(now time.Time) {
	t.last = max(t.last, uint64(now.UnixMilli())+fenceAheadMs)
}

// raise increases the following tokens after one was refused as too low.
func (t *tokens) raise() {
	t.raisedBy = max(2*t.raisedBy, firstRaiseMs)
	t.last += t.raisedBy
}

// inDoubtOrder is a LoadOrder that may still take effect at the engine: an unanswered
// one of this agent process, or one that the previous agent process may have sent. It
// loads whatever pieces are staged when it arrives, so they must not be replaced by those
// of another version until the order is settled, that is, known not to take effect any
// more.
type inDoubtOrder struct {
	open          bool
	model         string
	version       int   // 0: unknown whether and what the previous agent ordered
	sequence      int64 // precondition of the order
	startTimeMs   int64 // start of the engine process that the order was sent to
	firstSent     time.Time
	lastSent      time.Time // time of the last attempt
	attempts      int
	nextAttempt   time.Time // earliest time of the next repeat or fencing attempt
	adopted       bool      // a previous agent sent it, if it was sent at all
	inspected     bool      // the staged pieces were read and belong to no known version
	probeToken    uint64    // a lower token than that of the fencing order that the engine accepted; 0: none yet
	ignoresTokens bool      // the engine does not enforce fencing tokens
}

// known reports whether it is known which version was ordered.
func (d inDoubtOrder) known() bool { return d.open && d.version != 0 }

// fenceable reports whether the order can be fenced, given the version that the engine
// serves or 0. Fencing needs an order that changes nothing, and so a served version.
func (d inDoubtOrder) fenceable(serving int) bool {
	return d.known() && serving != 0 && !d.ignoresTokens
}

// fromPreviousAgent reports whether the order is a possible, unidentified one of the
// previous agent.
func (d inDoubtOrder) fromPreviousAgent() bool { return d.open && d.version == 0 }

// settled returns the reason why the order can no longer take effect, or "". The engine
// begins only one of all orders with the same precondition.
func (d inDoubtOrder) settled(now time.Time, model string, r Report, serving int, grace time.Duration) string {
	switch {
	case !fleet.SameIncarnation(d.startTimeMs, r.StartTimeMs):
		return "engine_restarted"
	case r.Sequence > d.sequence:
		return "begun"
	case r.Sequence < d.sequence:
		return "engine_restarted"
	case d.known() && d.model != model:
		return "other_model"
	case d.known() && serving >= d.version:
		return "served"
	case now.Sub(d.lastSent) >= grace:
		return "expired"
	}
	return ""
}

// recordUnanswered records that the order was sent and got no answer.
func (d *inDoubtOrder) recordUnanswered(now time.Time, cfg Config) {
	d.lastSent = now
	d.backOff(now, cfg)
}

// backOff records one more attempt to settle the order, and schedules the next attempt.
func (d *inDoubtOrder) backOff(now time.Time, cfg Config) {
	wait := cfg.RepeatMin << min(d.attempts, 16) // keeps the shift from overflowing; far above RepeatMax
	d.attempts++
	d.nextAttempt = now.Add(min(wait, cfg.RepeatMax))
}

// fencedBy reports whether the order cannot take effect any more because an order of
// this agent was refused for its token. That proves nothing about orders of the previous
// agent, whose tokens may be even higher.
func (d inDoubtOrder) fencedBy(err error) bool {
	return d.known() && !d.adopted && errors.Is(err, ErrOrderFenced)
}

// settleFromReport settles the order in doubt if the engine's report allows it.
func (s *Sidecar) settleFromReport(now time.Time, as assignmentState, r Report) {
	if !s.reached {
		s.inDoubt.sequence, s.inDoubt.startTimeMs = r.Sequence, r.StartTimeMs // a previous agent may have based an order on this state
	}
	if !s.inDoubt.open {
		return
	}
	if reason := s.inDoubt.settled(now, as.Model, r, r.serves(as.Model, as.Layers), s.cfg.OrderGrace); reason != "" {
		s.settle(now, reason)
	}
}

// settle clears the order in doubt.
func (s *Sidecar) settle(now time.Time, reason string) {
	if s.inDoubt.known() {
		s.stats.ordersSettled.Inc(1)
		s.log.WithFields(logrus.Fields{"model": s.inDoubt.model, "version": s.inDoubt.version, "sequence": s.inDoubt.sequence,
			"tries": s.inDoubt.attempts, "ms": now.Sub(s.inDoubt.firstSent).Milliseconds(), "how": reason}).Info("Load order in doubt settled.")
	} else {
		s.log.WithField("how", reason).Info("Load orders of previous agent settled.")
	}
	s.inDoubt = inDoubtOrder{}
}

// reopenAfterRestart marks orders as in doubt again if the engine was restarted, as if a
// previous agent had sent them. A restarted engine counts orders from 0 and has seen no
// tokens, so a delayed order with precondition 0 may take effect once more. If the staged
// version is complete, it is loaded before other pieces are staged, which settles such
// orders.
func (s *Sidecar) reopenAfterRestart(now time.Time, r Report) {
	newProcess := !fleet.SameIncarnation(s.startTimeMs, r.StartTimeMs)
	restarted := !s.up || newProcess || r.Sequence < s.sequence
	s.sequence, s.startTimeMs = r.Sequence, r.StartTimeMs
	if newProcess {
		s.stage = nil // the staged pieces are checked again
		s.log.WithFields(logrus.Fields{"engine": s.engineAddr, "born": r.StartTimeMs}).Info("Engine restarted.")
	}
	if !restarted || r.Sequence != 0 || s.inDoubt.fromPreviousAgent() || now.Sub(s.sentAtZero) >= s.cfg.OrderGrace {
		return
	}
	if s.inDoubt.open {
		s.settle(now, "engine_restarted")
	}
	s.inDoubt = inDoubtOrder{open: true, lastSent: s.sentAtZero, nextAttempt: now, startTimeMs: r.StartTimeMs}
	s.log.WithField("engine", s.engineAddr).Info("Load orders in doubt again after engine restart.")
}

// recordInDoubt records that an order got no answer.
func (s *Sidecar) recordInDoubt(now time.Time, o LoadOrder, err error) {
	if !s.inDoubt.known() {
		s.inDoubt = inDoubtOrder{open: true, model: o.Model, version: o.Version, sequence: o.Precondition, startTimeMs: s.startTimeMs, firstSent: now, ignoresTokens: s.inDoubt.ignoresTokens}
		s.stats.ordersInDoubt.Inc(1)
		s.log.WithError(err).WithFields(logrus.Fields{"model": o.Model, "version": o.Version, "sequence": o.Precondition,
			"token": o.Token}).Warn("Load order in doubt.")
	}
	s.inDoubt.recordUnanswered(now, s.cfg)
}
