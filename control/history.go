package control

import (
	"context"
	"time"

	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/peer"
)

// historyPeers is how many peers a new process asks which revisions were in
// force before it started.
const historyPeers = 3

// pullHistory learns which hosts the services had before this process
// started, so that it knows the earlier homes of idempotency keys.
func (n *Node) pullHistory(ctx context.Context, c *peer.Conn) error {
	m, err := c.Call(ctx, &peer.GetHistory{})
	if err != nil {
		return err
	}
	h, ok := m.(*peer.History)
	if !ok {
		return ErrUnexpectedReply
	}
	n.loop.Post(func() {
		now := clock.Now()
		since := now.Add(-time.Duration(h.KnownForMs) * time.Millisecond)
		if since.Before(n.knownSince) && h.Revision >= n.knownUpTo {
			n.knownSince, n.knownUpTo = since, h.Revision
		}
		n.learnPast(now, h)
		n.publish(now)
	})
	return nil
}

// extendHistory notes that a revision has come into force after before. If
// revisions in between were not seen, their hosts are not known, and the
// history starts anew until a peer fills the gap.
func (n *Node) extendHistory(now time.Time, before, after uint64) {
	if after <= n.knownUpTo {
		return
	}
	if before == 0 || !n.fold.RejectedBetween(max(before, n.knownUpTo), after) {
		n.knownSince = now
		n.asked = map[string]bool{}
	}
	n.knownUpTo = after
}

func (n *Node) learnPast(now time.Time, h *peer.History) {
	for _, p := range h.Past {
		replaced := now.Add(-time.Duration(p.ReplacedAgoMs) * time.Millisecond)
		if now.Sub(replaced) <= n.cfg.HistoryRetention {
			n.past = append(n.past, PastHosts{Service: p.Service, Hosts: p.Hosts, Replaced: replaced})
		}
	}
}

// PastHosts are the hosts of a service under an earlier revision.
type PastHosts struct {
	Service  string
	Hosts    []string
	Replaced time.Time // when the revision was replaced
}

// pastHosts lists the different host lists that services had in the window.
// It runs on the loop.
func (n *Node) pastHosts(now time.Time) []PastHosts {
	out := n.past[:0:0]
	for _, p := range n.past {
		if now.Sub(p.Replaced) <= n.cfg.HistoryRetention {
			out = append(out, p)
		}
	}
	n.past = out
	return append(out[:len(out):len(out)], n.ownPast()...)
}

// ownPast lists the host lists that differ from the next revision's.
func (n *Node) ownPast() []PastHosts {
	var out []PastHosts
	revisions := n.fold.History()
	if a := n.fold.Accepted(); a != nil {
		revisions = append(revisions, *a)
	}
	for i := 0; i+1 < len(revisions); i++ {
		next := revisions[i+1].Fleet
		for j := range revisions[i].Fleet.Services {
			old := &revisions[i].Fleet.Services[j]
			if s := next.Service(old.Name); s != nil && s.SameHosts(old) {
				continue
			}
			out = append(out, PastHosts{Service: old.Name, Hosts: old.HostNames(), Replaced: revisions[i].At})
		}
	}
	return out
}

func (n *Node) handleHistory(ctx context.Context, s *peer.Stream) {
	reply := &peer.History{}
	if n.loop.Call(func() {
		now := clock.Now()
		reply.KnownForMs = now.Sub(n.knownSince).Milliseconds()
		reply.Revision = n.knownUpTo
		for _, p := range n.pastHosts(now) {
			reply.Past = append(reply.Past, peer.PastHosts{Service: p.Service, Hosts: p.Hosts,
				ReplacedAgoMs: now.Sub(p.Replaced).Milliseconds()})
		}
	}) == nil {
		_ = s.SendLast(ctx, reply)
	}
}
