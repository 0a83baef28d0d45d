package mesh

import (
	"context"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/dispatch"
	"github.com/springgate/springgate/mechanism"
	"github.com/springgate/springgate/membership"
	"github.com/springgate/springgate/peer"
)

// Reserver reserves places at targets, each for one request, by calls to their home entries. The
// home of a target is an entry of its failure domain, chosen by rendezvous hashing, that grants
// or denies the places at it. Reserver implements gateway.Reserver.
type Reserver struct {
	mesh     *Mesh
	balancer *dispatch.Balancer
	// timeout bounds a call to a home. The round trip to another region takes 6 ms; a
	// home that takes longer is treated as unreachable.
	timeout time.Duration
	off     bool // homes are not called

	granted, denied, unanswered metrics.Counter // number of calls to homes other than this entry, by result
}

// reserveTimeout is four times the longest round trip.
const reserveTimeout = 25 * time.Millisecond

// NewReserver returns a reserver that serves other entries from this entry's balancer.
func NewReserver(m *Mesh, b *dispatch.Balancer, off mechanism.Off) *Reserver {
	counter := func(name string) metrics.Counter { return metrics.NewRegisteredCounter("mesh.places_"+name, m.metrics) }
	return &Reserver{mesh: m, balancer: b, timeout: reserveTimeout, off: off.Has(mechanism.Homes),
		granted: counter("granted"), denied: counter("denied"), unanswered: counter("unanswered")}
}

// Reserve implements gateway.Reserver.
func (r *Reserver) Reserve(ctx context.Context, c dispatch.Choice, prompt int) dispatch.Reservation {
	t := c.Instance
	home := r.mesh.home(t.ID, t.Domain)
	if r.off || home == r.mesh.self.Addr {
		return dispatch.ReservationGranted // the choice of the own balancer is final
	}
	reply, ok := r.callHome(ctx, home, c, prompt)
	if !ok {
		r.unanswered.Inc(1)
		return r.decideWithoutHome(c)
	}
	if notice, ok := reply.Notice.Decode(); ok {
		r.balancer.MergeReport(clock.Now(), notice)
	}
	switch {
	case reply.Granted && !reply.Known:
		return r.decideWithoutHome(c)
	case reply.Granted:
		r.granted.Inc(1)
		return dispatch.ReservationGranted
	}
	r.denied.Inc(1)
	switch {
	case reply.Notice.Leaving:
		return dispatch.ReservationDeferred
	case reply.WaitMs > 0:
		r.balancer.BackOff(clock.Now(), t.ID, time.Duration(reply.WaitMs)*time.Millisecond)
		return dispatch.ReservationDeferred
	}
	return dispatch.ReservationDenied
}

// decideWithoutHome decides when the home did not answer or does not know the target. A
// target with a bounded rate is not used then, because what other entries send there is not
// known.
func (r *Reserver) decideWithoutHome(c dispatch.Choice) dispatch.Reservation {
	if !c.Paced {
		return dispatch.ReservationGranted
	}
	r.balancer.BackOffUnanswered(clock.Now(), c.Instance.ID)
	return dispatch.ReservationDeferred
}

// callHome requests a place from a home; ok is false if the home does not answer in time.
func (r *Reserver) callHome(ctx context.Context, home string, c dispatch.Choice, prompt int) (reply *peer.ReserveReply, ok bool) {
	ctx, cancel := clock.WithTimeout(ctx, r.timeout)
	defer cancel()
	msg, err := r.mesh.pool.Call(ctx, home, peer.Traffic, &peer.Reserve{From: r.mesh.self.Addr, Instance: c.Instance.ID,
		PromptTokens: prompt, MaxWaitMs: c.Admission.MaxWait.Milliseconds(), MaxGapMs: c.Admission.MaxGap.Milliseconds(),
		MaxLoad: c.Admission.MaxLoad, Notice: peer.EncodeNotice(r.balancer.ReportOf(c.Instance.ID))})
	if err != nil {
		return nil, false
	}
	reply, ok = msg.(*peer.ReserveReply)
	return reply, ok
}

// Serve answers a request of another entry.
func (r *Reserver) Serve(ctx context.Context, s *peer.Stream, q *peer.Reserve) {
	if notice, ok := q.Notice.Decode(); ok {
		r.balancer.MergeReport(clock.Now(), notice)
	}
	p := r.balancer.Reserve(clock.Now(), q.From, q.Instance, q.PromptTokens, dispatch.Admission{
		MaxWait: time.Duration(q.MaxWaitMs) * time.Millisecond, MaxGap: time.Duration(q.MaxGapMs) * time.Millisecond,
		MaxLoad: q.MaxLoad})
	// On failure the requester's timeout applies.
	_ = s.SendLast(ctx, &peer.ReserveReply{Granted: p.Granted, Known: p.Known, WaitMs: milliseconds(p.Wait), Notice: peer.EncodeNotice(p.Report)})
}

// home returns the home entry of a target, which grants or denies the places at it.
func (m *Mesh) home(target, domain string) string {
	var near, all []string
	for _, p := range append([]peer.Presence{m.self}, m.Entries()...) {
		all = append(all, p.Addr)
		if p.Domain == domain {
			near = append(near, p.Addr)
		}
	}
	if len(near) == 0 {
		near = all
	}
	return membership.First(target, near)
}
