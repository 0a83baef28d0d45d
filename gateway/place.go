package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/dispatch"
	"github.com/springgate/springgate/mechanism"
	"github.com/springgate/springgate/residency"
)

// place waits until a target can serve the request in time.
func (x *exchange) place(ctx context.Context, d dispatch.Demand) (dispatch.Choice, Reason) {
	began := clock.Now()
	if x.sends == 0 {
		x.tightest = x.g.book.Arrived(began, x.service, d)
	}
	patience := clock.NewTimer(x.patience())
	defer patience.Stop()
	for {
		changed := x.g.book.Changed()
		choice, verdict := x.g.book.Pick(clock.Now(), x.service, d, x.avoid)
		if verdict == dispatch.Chosen && !x.g.homes.Reserve(ctx, choice, d.Prompt) {
			x.g.book.Cancel(choice.Target, d)
			x.denied++
			verdict = dispatch.Saturated
		}
		if verdict == dispatch.Chosen {
			x.waited += clock.Since(began)
			return choice, ReasonNone
		}
		if verdict == dispatch.NoDomain {
			// Waiting changes nothing: operators evacuate for minutes.
			x.waited += clock.Since(began)
			return choice, ReasonNoDomain
		}
		select {
		case <-changed:
		case <-patience.C:
			x.waited += clock.Since(began)
			x.logUnplaced(verdict, choice, d)
			if verdict == dispatch.Saturated {
				x.g.book.Refused(clock.Now(), x.service, d)
			}
			return choice, reasonOf(verdict)
		case <-ctx.Done():
			x.waited += clock.Since(began)
			return choice, ReasonTimeout
		}
	}
}

// demand is what the request asks of a target now.
func (x *exchange) demand() dispatch.Demand {
	d := dispatch.Demand{Prompt: x.call.Prompt, Objective: x.route.Objective, MaxGap: x.route.MaxGap, Domain: x.g.cfg.Domain,
		Homes: x.homes()}
	switch {
	case x.started:
		d.Standing = dispatch.Resumed
	case x.returning && !x.g.cfg.Off.Has(mechanism.OverdueLast):
		d.Standing = dispatch.Overdue
	}
	return d
}

// homes are the regions in which the request may run.
func (x *exchange) homes() residency.Homes {
	h := residency.Homes{Route: x.route.Homes}
	if x.team != nil {
		h.Team = x.team.Homes
	}
	return h
}

func reasonOf(v dispatch.Verdict) Reason {
	if v == dispatch.Saturated {
		return ReasonSaturated
	}
	return ReasonNoTarget
}

func (x *exchange) logUnplaced(v dispatch.Verdict, c dispatch.Choice, d dispatch.Demand) {
	f := logrus.Fields{"request": x.call.ID, "service": x.service, "verdict": v.String(), "avoid": len(x.avoid),
		"standing": d.Standing.String()}
	if c.Target != nil {
		f["target"], f["load"], f["unread"] = c.Instance.ID, c.Load.Requests, c.Load.Unread
		f["forecast_ms"], f["forecast_wait_ms"] = c.Forecast.FirstEvent.Milliseconds(), c.Forecast.Wait.Milliseconds()
		f["max_wait_ms"], f["max_load"] = c.Admission.MaxWait.Milliseconds(), c.Admission.MaxLoad
	}
	x.g.log.WithFields(f).Info("No target in time.")
}

// patience is how long the request may wait for a target now.
func (x *exchange) patience() time.Duration {
	if x.sends > 0 {
		return min(x.g.cfg.RetryPatience, clock.Until(x.deadline))
	}
	if x.returning {
		return 0
	}
	if x.g.cfg.Off.Has(mechanism.Patience) {
		return 0
	}
	limit := time.Duration(x.g.cfg.Patience * float64(x.tightest))
	return max(min(limit-clock.Since(x.start), clock.Until(x.deadline)), 0)
}
