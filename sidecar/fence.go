package sidecar

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/loop"
)

// fence makes the engine refuse older orders. It sends an order for the version that the
// engine serves, which changes nothing, but the engine records the order's token. Then it
// sends an order with a lower token as a test: if the engine does not refuse that one, it
// does not enforce tokens. fence returns the time until the next reconcile.
//
// An engine that has restarted since the report serves nothing, so that the order makes it load
// whatever is staged. It is therefore taken out of use before.
func (s *Sidecar) fence(ctx context.Context, model string, serving int, r Report) time.Duration {
	if !s.withdraw(ctx, model, serving, r) {
		return 0
	}
	var err error
	if s.inDoubt.probeToken == 0 {
		s.tokens.raiseAbovePrevious(clock.Now())
		lower := s.newLoadOrder(model, serving, r)
		fencing := s.newLoadOrder(model, serving, r)
		var begun bool
		begun, err = s.sendOrder(ctx, fencing)
		s.log.WithError(err).WithFields(logrus.Fields{"model": model, "version": serving, "sequence": fencing.Precondition,
			"token": fencing.Token, "engine_start_ms": r.StartTimeMs, "begun": begun}).Info("Fencing order sent.")
		if begun {
			return s.cfg.PollBusy
		}
		switch {
		case err == nil:
			s.inDoubt.probeToken = lower.Token
		case errors.Is(err, ErrOrderFenced):
			s.tokens.raise()
			return s.cfg.PollBusy
		}
	}
	if s.inDoubt.probeToken != 0 {
		lower := s.newLoadOrder(model, serving, r)
		lower.Token = s.inDoubt.probeToken
		_, err = s.sendOrder(ctx, lower)
		if errors.Is(err, ErrOrderFenced) {
			s.settle(clock.Now(), "fenced")
			return 0
		}
		s.inDoubt.ignoresTokens = err == nil
	}
	s.inDoubt.backOff(clock.Now(), s.cfg)
	if err != nil && !errors.Is(err, ErrOrderInDoubt) && s.inDoubt.attempts >= previousAgentAttempts {
		s.inDoubt.ignoresTokens = true
	}
	s.log.WithError(err).WithFields(logrus.Fields{"model": model, "version": serving, "tries": s.inDoubt.attempts,
		"unfenced": s.inDoubt.ignoresTokens}).Info("Older load orders not fenced.")
	return s.cfg.PollBusy
}

// withdraw reports the engine as loading, so that it gets no requests, and waits until the entries
// know. It returns false if the engine's state has changed meanwhile.
func (s *Sidecar) withdraw(ctx context.Context, model string, serving int, r Report) bool {
	s.publishState(model, serving, true, r.StartTimeMs)
	if !loop.Sleep(ctx, s.cfg.WithdrawTime) {
		return false
	}
	now, err := s.report(ctx)
	return err == nil && now.Sequence == r.Sequence && !now.Busy && fleet.SameIncarnation(now.StartTimeMs, r.StartTimeMs) && now.held(model) == s.proof.held
}
