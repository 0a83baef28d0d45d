package mesh

import (
	"context"

	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/dispatch"
	"github.com/springgate/springgate/peer"
)

// place reserves a place in a large fleet, in which only the home of a target knows its load: the
// answer tells that load, so that the next choice takes it into account.
func (r *Reserver) place(ctx context.Context, home string, c dispatch.Choice, prompt int) dispatch.Reservation {
	own := r.balancer.OwnLoad(c.Instance.ID)
	msg, err := r.call(ctx, home, &peer.Place{Reserve: r.request(c, prompt), LastResort: c.LastResort,
		Requests: own.Requests - 1, Prefill: own.PendingPrefill - prompt})
	reply, ok := msg.(*peer.PlaceReply)
	if err != nil || !ok {
		r.unanswered.Inc(1)
		r.mesh.requireReport(home) // it may have granted the place
		return r.decideWithoutHome(c)
	}
	if reply.Reply.Granted {
		r.mesh.requireReport(home)
	}
	now := clock.Now()
	if reply.Reply.Known {
		r.balancer.SetHomeLoad(now, c.Instance.ID, dispatch.Load{Requests: reply.Requests, PendingPrefill: reply.Prefill})
	}
	if reply.Suspected {
		r.balancer.Suspect(now, c.Instance.ID)
	}
	reservation := r.apply(c, &reply.Reply)
	if reservation == dispatch.ReservationDenied {
		return dispatch.ReservationElsewhere
	}
	return reservation
}

// ServePlace answers a request of another entry.
func (r *Reserver) ServePlace(ctx context.Context, s *peer.Stream, q *peer.Place) {
	if !q.LastResort && r.balancer.Silenced(clock.Now(), q.Reserve.Instance) {
		_ = s.SendLast(ctx, &peer.PlaceReply{Suspected: true}) // on failure the requester's timeout applies
		return
	}
	// The last report may contain this request already, or others that have ended.
	r.balancer.UpdateLoads(q.Reserve.From, map[string]dispatch.Load{q.Reserve.Instance: {Requests: max(q.Requests, 0), PendingPrefill: max(q.Prefill, 0)}})
	reply, p := r.decide(&q.Reserve)
	_ = s.SendLast(ctx, &peer.PlaceReply{Reply: *reply, Requests: p.Others.Requests, Prefill: p.Others.PendingPrefill})
}
