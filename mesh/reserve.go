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
	if r.mesh.isLarge() {
		return r.place(ctx, home, c, prompt)
	}
	reply, ok := r.callHome(ctx, home, c, prompt)
	if !ok {
		r.unanswered.Inc(1)
		return r.decideWithoutHome(c)
	}
	return r.apply(c, reply)
}

// apply applies the answer of a home.
func (r *Reserver) apply(c dispatch.Choice, reply *peer.ReserveReply) dispatch.Reservation {
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
		r.balancer.BackOff(clock.Now(), c.Instance.ID, time.Duration(reply.WaitMs)*time.Millisecond)
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
	q := r.request(c, prompt)
	msg, err := r.call(ctx, home, &q)
	if err != nil {
		return nil, false
	}
	reply, ok = msg.(*peer.ReserveReply)
	return reply, ok
}

func (r *Reserver) call(ctx context.Context, home string, q peer.Message) (peer.Message, error) {
	ctx, cancel := clock.WithTimeout(ctx, r.timeout)
	defer cancel()
	return r.mesh.pool.Call(ctx, home, peer.Traffic, q)
}

func (r *Reserver) request(c dispatch.Choice, prompt int) peer.Reserve {
	return peer.Reserve{From: r.mesh.self.Addr, Instance: c.Instance.ID,
		PromptTokens: prompt, MaxWaitMs: c.Admission.MaxWait.Milliseconds(), MaxGapMs: c.Admission.MaxGap.Milliseconds(),
		MaxLoad: c.Admission.MaxLoad, Notice: peer.EncodeNotice(r.balancer.ReportOf(c.Instance.ID))}
}

// Serve answers a request of another entry.
func (r *Reserver) Serve(ctx context.Context, s *peer.Stream, q *peer.Reserve) {
	reply, _ := r.decide(q)
	// On failure the requester's timeout applies.
	_ = s.SendLast(ctx, reply)
}

// decide decides, as the home, on a request of another entry.
func (r *Reserver) decide(q *peer.Reserve) (*peer.ReserveReply, dispatch.ReserveResult) {
	if notice, ok := q.Notice.Decode(); ok {
		r.balancer.MergeReport(clock.Now(), notice)
	}
	p := r.balancer.Reserve(clock.Now(), q.From, q.Instance, q.PromptTokens, dispatch.Admission{
		MaxWait: time.Duration(q.MaxWaitMs) * time.Millisecond, MaxGap: time.Duration(q.MaxGapMs) * time.Millisecond,
		MaxLoad: q.MaxLoad})
	return &peer.ReserveReply{Granted: p.Granted, Known: p.Known, WaitMs: milliseconds(p.Wait), Notice: peer.EncodeNotice(p.Report)}, p
}

// home returns the home entry of a target, which grants or denies the places at it: a relay of
// the target's failure domain (see package overlay).
func (m *Mesh) home(target, domain string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.homeIn(target, domain)
}

// homeIn is home with the lock held.
func (m *Mesh) homeIn(target, domain string) string {
	relays := m.overlay.Relays(domain)
	if len(relays) == 0 {
		relays = m.overlay.All()
	}
	return membership.First(target, relays)
}
