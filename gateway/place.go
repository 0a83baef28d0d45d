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
	defer func() { x.waited += clock.Since(began) }()
	if x.sends == 0 {
		x.tightest = x.g.book.RecordArrival(began, x.service, d)
	}
	patience := x.patience()
	until := began.Add(patience)
	timer := clock.NewTimer(patience)
	defer timer.Stop()
	for {
		changed := x.g.book.Changed()
		choice, verdict := x.pick(ctx, d, until)
		switch {
		case verdict == dispatch.Chosen:
			return choice, ReasonNone
		case verdict == dispatch.NoDomain:
			return choice, ReasonNoDomain // operators evacuate for minutes
		case verdict == dispatch.Paced && choice.FreeAt.After(until):
			return choice, x.unplaced(verdict, choice, d)
		}
		select {
		case <-changed:
		case <-x.freeAt(verdict, choice):
		case <-timer.C:
			return choice, x.unplaced(verdict, choice, d)
		case <-ctx.Done():
			return choice, ReasonTimeout
		}
	}
}

// freeAt returns a channel that gets a value when a target takes one more; nil if that is
// not what the request waits for.
func (x *exchange) freeAt(v dispatch.Verdict, c dispatch.Choice) <-chan time.Time {
	if v != dispatch.Paced {
		return nil
	}
	return clock.NewTimer(max(clock.Until(c.FreeAt), 0)).C
}

// maxHeld is how many targets that turn out to take no more for a time are passed over,
// though the request may not wait.
const maxHeld = 4

// pick chooses a target whose home grants a place. Targets that turn out to take no more
// for a time are passed over.
func (x *exchange) pick(ctx context.Context, d dispatch.Demand, until time.Time) (dispatch.Choice, dispatch.Verdict) {
	for held := 0; ; held++ {
		choice, verdict := x.g.book.Pick(clock.Now(), x.service, d, x.avoid)
		if verdict != dispatch.Chosen {
			return choice, verdict
		}
		reservation := x.g.homes.Reserve(ctx, choice, d.Prompt)
		if reservation == dispatch.ReservationGranted {
			return choice, dispatch.Chosen
		}
		x.g.book.Cancel(choice.Target, d)
		x.denied++
		goOn := reservation == dispatch.ReservationDeferred && (held < maxHeld || clock.Now().Before(until))
		if !goOn || ctx.Err() != nil {
			return choice, dispatch.Saturated
		}
	}
}

// unplaced notes that no target could serve the request in time, and returns why.
func (x *exchange) unplaced(v dispatch.Verdict, c dispatch.Choice, d dispatch.Demand) Reason {
	x.logUnplaced(v, c, d)
	switch v {
	case dispatch.Saturated:
		x.g.book.RecordRefusal(clock.Now(), x.service, d)
		return ReasonSaturated
	case dispatch.Paced:
		x.freeFrom = c.FreeAt
		x.g.book.RecordRefusal(clock.Now(), x.service, d)
		return ReasonPaced
	}
	return ReasonNoTarget
}

// demand is what the request asks of a target now.
func (x *exchange) demand() dispatch.Demand {
	d := dispatch.Demand{Prompt: x.call.Prompt, Objective: x.route.Objective, MaxGap: x.route.MaxGap, Domain: x.g.cfg.Domain,
		HomeRegions: x.homes()}
	switch {
	case x.started:
		d.Standing = dispatch.Resumed
	case x.returning && !x.g.cfg.Off.Has(mechanism.OverdueLast):
		d.Standing = dispatch.Overdue
	}
	return d
}

// homes are the regions in which the request may run.
func (x *exchange) homes() residency.HomeRegions {
	h := residency.HomeRegions{Route: x.route.HomeRegions}
	if x.team != nil {
		h.Team = x.team.HomeRegions
	}
	return h
}

func (x *exchange) logUnplaced(v dispatch.Verdict, c dispatch.Choice, d dispatch.Demand) {
	f := logrus.Fields{"request": x.call.ID, "service": x.service, "verdict": v.String(), "avoid": len(x.avoid),
		"standing": d.Standing.String()}
	if c.Target != nil {
		f["target"], f["load"], f["unread"] = c.Instance.ID, c.Load.Requests, c.Load.PendingPrefill
		f["forecast_ms"], f["forecast_wait_ms"] = c.Forecast.FirstEvent.Milliseconds(), c.Forecast.Wait.Milliseconds()
		f["max_wait_ms"], f["max_load"] = c.Admission.MaxWait.Milliseconds(), c.Admission.MaxLoad
	}
	if v == dispatch.Paced {
		f["free_in_ms"] = clock.Until(c.FreeAt).Milliseconds()
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
