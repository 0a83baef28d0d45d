package sidecar

import (
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/fleet"
)

// LoadOrder tells an engine to load what is staged there.
type LoadOrder struct {
	Model   string
	Version int
	// Precondition is the Sequence of the report that the order was decided on.
	// An engine that has begun another order since refuses it.
	Precondition int64
	// Token is the fencing token: it rises with each order. An engine that has
	// seen a higher one refuses the order.
	Token uint64
}

// Answers to a LoadOrder other than that it is in effect. Any other error says
// that it has no effect and never will.
var (
	// ErrOrderInDoubt is no answer: the order may have taken effect, or may yet.
	ErrOrderInDoubt = errors.New("sidecar: no answer to the order")
	// ErrOrderStale is returned if the engine's state is not the one that the
	// order was decided on.
	ErrOrderStale = errors.New("sidecar: order does not fit the engine's state")
	// ErrOrderFenced is returned if the engine has seen a higher token. No order
	// with a lower one can take effect any more.
	ErrOrderFenced = errors.New("sidecar: fencing token is too low")
)

// fenceAhead is how far ahead of the clock the tokens are from the first attempt
// to shut out the agent before on, in ms. Its orders may be unknown to the engine
// and their tokens higher than the clock, if that was ahead then. Clocks are
// stepped by seconds.
const fenceAhead = 60_000

// earlierTries is how often it is tried to shut out or to find out the orders of
// the agent before, until the next best is done: engines may not heed tokens, and
// what they hold may be too old for a manifest.
const earlierTries = 3

// firstLift is how far a token is raised when it was too low, in ms; each
// further time it is twice as far. An agent whose clock was stepped back by
// seconds gets past the tokens of the one before it in a few attempts.
const firstLift = 1000

// tokens hands out fencing tokens. They follow the time of day in ms, so those
// of an agent are higher than those of the agent before it.
type tokens struct{ last, lifted uint64 }

func (t *tokens) next(now time.Time) uint64 {
	t.last = max(t.last+1, uint64(now.UnixMilli()))
	return t.last
}

// aheadOf raises the tokens to come over those of the agent before.
func (t *tokens) aheadOf(now time.Time) { t.last = max(t.last, uint64(now.UnixMilli())+fenceAhead) }

// lift raises the tokens to come.
func (t *tokens) lift() {
	t.lifted = max(2*t.lifted, firstLift)
	t.last += t.lifted
}

// doubt is an order that may still take effect at the engine: one of the agent's
// own that got no answer, or one that the agent before it may have given. What
// is staged is what such an order refers to, so it must not become another
// version's until the order is settled.
type doubt struct {
	open     bool
	model    string
	version  int   // 0: what the agent before ordered, if it did, is not known
	sequence int64 // its precondition
	born     int64 // of the engine that it was sent to
	first    time.Time
	last     time.Time // when it was sent, or repeated
	tries    int
	again    time.Time // not to be repeated or fenced off sooner
	adopted  bool      // the agent before gave it, if it was given
	looked   bool      // what is staged was looked at and is of no known version
	shut     uint64    // a token below one that the engine took to shut out older orders; 0: none yet
	unfenced bool      // the engine does not heed fencing tokens
}

// ours reports whether it is known what was ordered.
func (d doubt) ours() bool { return d.open && d.version != 0 }

// fenceable reports whether the order can be shut out at an engine that serves a
// version, or none.
func (d doubt) fenceable(serving int) bool { return d.ours() && serving != 0 && !d.unfenced }

// earlier reports whether it is about the orders of the agent before.
func (d doubt) earlier() bool { return d.open && d.version == 0 }

// settled returns why the order can no longer take effect, or "". Of all orders
// with the same precondition the engine begins one.
func (d doubt) settled(now time.Time, model string, r Report, serving int, grace time.Duration) string {
	switch {
	case !fleet.SameIncarnation(d.born, r.Born):
		return "engine_restarted"
	case r.Sequence > d.sequence:
		return "begun"
	case r.Sequence < d.sequence:
		return "engine_restarted"
	case d.ours() && d.model != model:
		return "other_model"
	case d.ours() && serving >= d.version:
		return "served"
	case now.Sub(d.last) >= grace:
		return "expired"
	}
	return ""
}

// tried notes that the order was sent and got no answer.
func (d *doubt) tried(now time.Time, cfg Config) {
	d.last = now
	d.putOff(now, cfg)
}

// putOff notes one more attempt to settle the doubt, and when the next may be made.
func (d *doubt) putOff(now time.Time, cfg Config) {
	wait := cfg.RepeatMin << min(d.tries, 16) // far beyond the longest pause
	d.tries++
	d.again = now.Add(min(wait, cfg.RepeatMax))
}

// fencedBy reports whether the order cannot take effect any more because one of
// this agent's was refused for its token: the tokens of the agent before may be
// higher still.
func (d doubt) fencedBy(err error) bool {
	return d.ours() && !d.adopted && errors.Is(err, ErrOrderFenced)
}

// review closes the doubt if the engine's report settles it.
func (s *Sidecar) review(now time.Time, o order, r Report) {
	if !s.reached {
		s.doubt.sequence, s.doubt.born = r.Sequence, r.Born // the agent before may have ordered something on it
	}
	if !s.doubt.open {
		return
	}
	if how := s.doubt.settled(now, o.Model, r, r.serves(o.Model, o.Layers), s.cfg.OrderGrace); how != "" {
		s.settle(now, how)
	}
}

// settle closes the doubt.
func (s *Sidecar) settle(now time.Time, how string) {
	if s.doubt.ours() {
		s.stats.ordersSettled.Inc(1)
		s.log.WithFields(logrus.Fields{"model": s.doubt.model, "version": s.doubt.version, "sequence": s.doubt.sequence,
			"tries": s.doubt.tries, "ms": now.Sub(s.doubt.first).Milliseconds(), "how": how}).Info("Order settled.")
	} else {
		s.log.WithField("how", how).Info("Earlier orders settled.")
	}
	s.doubt = doubt{}
}

// revive opens the doubt anew, as if an agent before had given the order, if the
// engine has been started anew since: it counts from 0 and knows no tokens, so
// that an order with the precondition 0 that is still on its way fits once more.
// What is staged whole is then loaded first, which ends that.
func (s *Sidecar) revive(now time.Time, r Report) {
	reborn := !fleet.SameIncarnation(s.born, r.Born)
	restarted := !s.up || reborn || r.Sequence < s.sequence
	s.sequence, s.born = r.Sequence, r.Born
	if reborn {
		s.stage = nil // what lies there is checked again
		s.log.WithFields(logrus.Fields{"engine": s.engineAddr, "born": r.Born}).Info("Engine was started anew.")
	}
	if !restarted || r.Sequence != 0 || s.doubt.earlier() || now.Sub(s.sentAtZero) >= s.cfg.OrderGrace {
		return
	}
	if s.doubt.open {
		s.settle(now, "engine_restarted")
	}
	s.doubt = doubt{open: true, last: s.sentAtZero, again: now, born: r.Born}
	s.log.WithField("engine", s.engineAddr).Info("Orders in doubt again.")
}

// doubtful notes that an order got no answer.
func (s *Sidecar) doubtful(now time.Time, o LoadOrder, err error) {
	if !s.doubt.ours() {
		s.doubt = doubt{open: true, model: o.Model, version: o.Version, sequence: o.Precondition, born: s.born, first: now, unfenced: s.doubt.unfenced}
		s.stats.ordersInDoubt.Inc(1)
		s.log.WithError(err).WithFields(logrus.Fields{"model": o.Model, "version": o.Version, "sequence": o.Precondition,
			"token": o.Token}).Warn("Order in doubt.")
	}
	s.doubt.tried(now, s.cfg)
}
