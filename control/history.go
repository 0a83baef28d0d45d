package control

import (
	"context"
	"time"

	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/peer"
)

// historyPeers is the number of peers from which a new process requests the
// revisions that were in force before it started.
const historyPeers = 3

// pullHistory fetches the hosts that the services had before this process
// started. They determine the earlier homes of idempotency keys: the home of a
// key is the host that keeps its record, chosen by hashing among the hosts of
// the service.
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
		n.mergePastHosts(now, h)
		n.publish(now)
	})
	return nil
}

// extendHistory records that revision after has replaced revision before. If a
// revision in between may have been in force elsewhere and was not received
// here, the hosts of that revision are unknown: the history is then known only from
// now on, until a peer supplies the missing part.
func (n *Node) extendHistory(now time.Time, before, after uint64) {
	if after <= n.knownUpTo {
		return
	}
	if before == 0 || !n.tracker.RejectedBetween(max(before, n.knownUpTo), after) {
		n.knownSince = now
		n.historyRequested = map[string]bool{}
	}
	n.knownUpTo = after
}

func (n *Node) mergePastHosts(now time.Time, h *peer.History) {
	for _, p := range h.Past {
		replaced := now.Add(-time.Duration(p.ReplacedAgoMs) * time.Millisecond)
		if now.Sub(replaced) <= n.cfg.HistoryRetention {
			n.peerPastHosts = append(n.peerPastHosts, PastHosts{Service: p.Service, Hosts: p.Hosts, Replaced: replaced})
		}
	}
}

// PastHosts are the hosts of a service under a replaced revision.
type PastHosts struct {
	Service  string
	Hosts    []string
	Replaced time.Time // when the revision was replaced
}

// pastHosts returns those host lists of services that were replaced by others
// within the retention period, received from peers or known to this process. It runs on the
// loop.
func (n *Node) pastHosts(now time.Time) []PastHosts {
	out := n.peerPastHosts[:0:0]
	for _, p := range n.peerPastHosts {
		if now.Sub(p.Replaced) <= n.cfg.HistoryRetention {
			out = append(out, p)
		}
	}
	n.peerPastHosts = out
	return append(out[:len(out):len(out)], n.localPastHosts()...)
}

// localPastHosts returns, for each retained revision that this process had in
// force, the host lists of services that the next revision changed or removed.
func (n *Node) localPastHosts() []PastHosts {
	var out []PastHosts
	revisions := n.tracker.History()
	if a := n.tracker.Accepted(); a != nil {
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
