package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/dispatch"
	"github.com/springgate/springgate/mechanism"
	"github.com/springgate/springgate/overload"
	"github.com/springgate/springgate/residency"
)

// place chooses a target. It waits until one can serve the request in time.
func (x *exchange) place(ctx context.Context, d dispatch.Demand) (dispatch.Choice, Reason) {
	start := clock.Now()
	defer func() { x.waited += clock.Since(start) }()
	if x.sends+x.inFlight == 0 {
		x.tightest = x.g.balancer.RecordArrival(start, x.service, d)
	}
	maxWait := x.maxWait()
	until := start.Add(maxWait)
	timer := clock.NewTimer(maxWait)
	defer timer.Stop()
	for {
		changed := x.g.balancer.Changed()
		choice, verdict := x.pick(ctx, d, until)
		switch {
		case verdict == dispatch.Chosen:
			return choice, ReasonNone
		case verdict == dispatch.NoDomain:
			return choice, ReasonNoDomain // evacuations last minutes, so waiting is of no use
		case verdict == dispatch.Paced && choice.FreeAt.After(until):
			return choice, x.unplaced(verdict, choice, d)
		}
		select {
		case <-changed:
		case <-x.timerUntilFree(verdict, choice):
		case <-timer.C:
			return choice, x.unplaced(verdict, choice, d)
		case <-ctx.Done():
			return choice, endReason(ctx)
		}
	}
}

// timerUntilFree returns a channel that receives a value when a target that is
// rate-limited or backing off accepts its next request; nil if the request does not wait
// for that.
func (x *exchange) timerUntilFree(v dispatch.Verdict, c dispatch.Choice) <-chan time.Time {
	if v != dispatch.Paced {
		return nil
	}
	return clock.NewTimer(max(clock.Until(c.FreeAt), 0)).C
}

// maxDeferredTargets bounds how many targets whose reservation is deferred are skipped when
// the request may not wait.
const maxDeferredTargets = 4

// maxLoadedTargets bounds how many targets a request tries whose homes know a higher load than
// this entry. A question to a home takes a few milliseconds at most.
const maxLoadedTargets = 6

// pick chooses a target whose home entry (see Reserver) grants a place. A target that
// accepts no requests for now defers the reservation and is skipped.
func (x *exchange) pick(ctx context.Context, d dispatch.Demand, until time.Time) (dispatch.Choice, dispatch.Verdict) {
	for deferred, loaded := 0, 0; ; {
		choice, verdict := x.g.balancer.Pick(clock.Now(), x.service, d, x.avoid)
		if verdict != dispatch.Chosen {
			return choice, verdict
		}
		reservation := x.g.reserver.Reserve(ctx, choice, d.Prompt)
		if reservation == dispatch.ReservationGranted {
			return choice, dispatch.Chosen
		}
		x.g.balancer.Cancel(choice.Target, d)
		x.denied++
		retry := false
		switch reservation {
		case dispatch.ReservationDeferred:
			retry = deferred < maxDeferredTargets || clock.Now().Before(until)
			deferred++
		case dispatch.ReservationElsewhere:
			loaded++
			retry = loaded < maxLoadedTargets
		}
		if !retry || ctx.Err() != nil {
			return choice, dispatch.Saturated
		}
	}
}

// unplaced records that no target could serve the request in time, and returns the reason.
func (x *exchange) unplaced(v dispatch.Verdict, c dispatch.Choice, d dispatch.Demand) Reason {
	x.logUnplaced(v, c, d)
	if v != dispatch.Saturated && v != dispatch.Paced {
		return ReasonNoTarget
	}
	if x.inFlight == 0 { // otherwise the request is not refused
		x.g.balancer.RecordRefusal(clock.Now(), x.service, d)
	}
	if v == dispatch.Paced {
		x.nextFreeAt = c.FreeAt
		return ReasonPaced
	}
	return ReasonSaturated
}

// demand returns what the request currently requires of a target.
func (x *exchange) demand() dispatch.Demand {
	d := dispatch.Demand{Prompt: x.call.Prompt, Kind: x.route.Name, Objective: x.route.Objective, MaxGap: x.route.MaxGap, Domain: x.g.cfg.Domain,
		HomeRegions: x.homes()}
	d.Yield = overload.Yield(x.level.decision.Preceding)
	switch {
	case x.started:
		d.Standing = dispatch.Resumed
	case x.isRetry && !x.g.cfg.Off.Has(mechanism.OverdueLast):
		d.Standing = dispatch.Overdue
	}
	return d
}

// homes returns the regions in which the request may run.
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
	x.g.log.WithFields(f).Info("No target can serve the request in time.")
}

// maxWait is how long the request may currently wait for a target.
func (x *exchange) maxWait() time.Duration {
	if x.inFlight > 0 {
		return 0 // the hedge is tried again later
	}
	if x.sends > 0 {
		return min(x.g.cfg.RetryMaxWait, clock.Until(x.deadline))
	}
	if x.isRetry {
		return 0
	}
	if x.g.cfg.Off.Has(mechanism.Patience) {
		return 0
	}
	limit := time.Duration(x.g.cfg.MaxWaitRatio * float64(x.tightest))
	return max(min(limit-clock.Since(x.start), clock.Until(x.deadline)), 0)
}
