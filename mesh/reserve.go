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

// Reserver asks the home entries of targets for places. The home is an entry of
// the target's failure domain, chosen by rendezvous hashing. It implements
// gateway.Reserver.
type Reserver struct {
	mesh *Mesh
	book *dispatch.Book
	// timeout bounds the question. The way to another region and back takes
	// 6 ms; a home that is slower is not waited for.
	timeout time.Duration
	off     bool // no home is asked

	granted, denied, unanswered metrics.Counter // questions to other homes
}

// reserveTimeout is four times the longest way there and back.
const reserveTimeout = 25 * time.Millisecond

// NewReserver returns a reserver that answers for this entry's book.
func NewReserver(m *Mesh, b *dispatch.Book, off mechanism.Off) *Reserver {
	counter := func(name string) metrics.Counter { return metrics.NewRegisteredCounter("mesh.places_"+name, m.metrics) }
	return &Reserver{mesh: m, book: b, timeout: reserveTimeout, off: off.Has(mechanism.Homes),
		granted: counter("granted"), denied: counter("denied"), unanswered: counter("unanswered")}
}

// Reserve implements gateway.Reserver.
func (r *Reserver) Reserve(ctx context.Context, c dispatch.Choice, prompt int) bool {
	t := c.Instance
	home := r.mesh.home(t.ID, t.Domain)
	if r.off || home == r.mesh.self.Addr {
		return true // the own book has decided
	}
	ctx, cancel := clock.WithTimeout(ctx, r.timeout)
	defer cancel()
	msg, err := r.mesh.pool.Call(ctx, home, peer.Traffic, &peer.Reserve{From: r.mesh.self.Addr, Instance: t.ID,
		Prompt: prompt, MaxWaitMs: c.Admission.MaxWait.Milliseconds(), MaxGapMs: c.Admission.MaxGap.Milliseconds(),
		MaxLoad: c.Admission.MaxLoad})
	reply, ok := msg.(*peer.ReserveReply)
	switch {
	case err != nil || !ok:
		r.unanswered.Inc(1)
		return true
	case reply.Granted:
		r.granted.Inc(1)
		return true
	}
	r.denied.Inc(1)
	return false
}

// Serve answers another entry.
func (r *Reserver) Serve(ctx context.Context, s *peer.Stream, q *peer.Reserve) {
	granted := r.book.Reserve(clock.Now(), q.From, q.Instance, q.Prompt, dispatch.Admission{
		MaxWait: time.Duration(q.MaxWaitMs) * time.Millisecond, MaxGap: time.Duration(q.MaxGapMs) * time.Millisecond,
		MaxLoad: q.MaxLoad})
	// The asker does not wait long, and goes on without an answer.
	_ = s.SendLast(ctx, &peer.ReserveReply{Granted: granted})
}

// home returns the entry that decides who may use a target.
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
