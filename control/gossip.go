package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/intent"
	"github.com/springgate/springgate/membership"
	"github.com/springgate/springgate/peer"
)

// maxNotices is the maximum number of leaving notices, which announce that a host
// is leaving the fleet, in one heartbeat.
const maxNotices = 16

// pullTimeout limits a fetch from a peer: a fleet file, a host list or a history.
const pullTimeout = 5 * time.Second

// ErrUnexpectedReply is returned if a peer replies with a message of
// another type than the request calls for.
var ErrUnexpectedReply = errors.New("control: unexpected reply from a peer")

// gossip starts one round of heartbeat exchanges with a few hosts. It runs on the
// loop.
func (n *Node) gossip(now time.Time) {
	n.lastGossip = now
	hb := n.heartbeat(now)
	n.selectGossipPeers(now)
	for _, m := range membership.GossipTargets(n.cfg.Host, n.cfg.Domain, n.gossipPeers, n.cfg.LocalFanout, n.cfg.RemoteFanout, n.rng) {
		go n.exchange(m, hb)
	}
}

// Each round selects its hosts from a small set of peers, which is replaced
// regularly: a process has few open connections at a time, yet exchanges
// heartbeats with all others over time.
const (
	gossipPeersFactor = 3 // size of the set divided by the heartbeats sent in a round
	gossipPeersTTL    = 10 * time.Second
)

func (n *Node) selectGossipPeers(now time.Time) {
	if now.Sub(n.gossipPeersSince) < gossipPeersTTL && len(n.gossipPeers) > 0 {
		return
	}
	n.gossipPeersSince = now
	n.gossipPeers = membership.GossipTargets(n.cfg.Host, n.cfg.Domain, n.snapshot.Load().Members,
		gossipPeersFactor*n.cfg.LocalFanout, gossipPeersFactor*n.cfg.RemoteFanout, n.rng)
	n.pool.CloseIdle(now, idleConnTimeout)
}

// idleConnTimeout is how long a connection may be unused before it is closed.
const idleConnTimeout = 2 * gossipPeersTTL

// heartbeat returns the heartbeat that this process sends. It runs on the loop.
func (n *Node) heartbeat(now time.Time) *peer.Heartbeat {
	ref := n.tracker.Ref()
	hb := &peer.Heartbeat{Host: n.cfg.Host, Incarnation: n.cfg.Incarnation, Leaving: n.leaving.Load(),
		Revision: ref.Revision, Digest: ref.Digest, HeadAgeMs: now.Sub(n.confirmedAt).Milliseconds(),
		HostsSerial: n.view.Serial()}
	for _, x := range n.view.Notices(maxNotices) {
		hb.Notices = append(hb.Notices, peer.Notice{Host: x.Host, Incarnation: x.Incarnation})
	}
	return hb
}

// exchange sends a heartbeat to one host and applies its reply.
func (n *Node) exchange(m membership.Member, hb *peer.Heartbeat) {
	ctx, cancel := clock.WithTimeout(n.ctx, callTimeout)
	defer cancel()
	n.count.heartbeatsOut.Inc(1)
	c, err := n.pool.Get(ctx, m.Addr, peer.Control)
	if err != nil {
		n.recordFailure(m.Host)
		return
	}
	reply, err := c.Call(ctx, hb)
	h, ok := reply.(*peer.Heartbeat)
	if err != nil || !ok {
		n.recordFailure(m.Host)
		return
	}
	n.loop.Post(func() { n.applyHeartbeat(c, h) })
}

// recordFailure records that a host could not be reached.
func (n *Node) recordFailure(host string) {
	if n.ctx.Err() == nil {
		n.loop.Post(func() {
			n.view.RecordFailure(clock.Now(), host)
			n.gossipPeers = nil // select other peers in the next round
		})
	}
}

// applyHeartbeat applies a heartbeat received over c, and fetches the head, host
// list or history from the sender if the sender's is newer or not known here. It
// runs on the loop.
func (n *Node) applyHeartbeat(c *peer.Conn, h *peer.Heartbeat) {
	now := clock.Now()
	n.count.heartbeatsIn.Inc(1)
	n.view.RecordStatus(now, h.Host, h.Incarnation, h.Leaving, h.Revision)
	for _, x := range h.Notices {
		n.view.RecordNotice(now, membership.Notice{Host: x.Host, Incarnation: x.Incarnation})
	}
	ref := intent.Ref{Revision: h.Revision, Digest: h.Digest}
	switch {
	case n.tracker.Ref().Less(ref):
		n.pull(c, "head", func(ctx context.Context) error { return n.pullHead(ctx, c, h.HeadAgeMs) })
	case ref == n.tracker.Ref() && ref.Revision > 0:
		n.confirmHead(now.Add(-time.Duration(h.HeadAgeMs)*time.Millisecond), ref)
	}
	if h.HostsSerial > n.view.Serial() {
		n.pull(c, "hosts", func(ctx context.Context) error { return n.pullHosts(ctx, c) })
	}
	if !n.historyRequested[h.Host] && len(n.historyRequested) < historyPeers {
		n.historyRequested[h.Host] = true
		n.pull(c, "history/"+h.Host, func(ctx context.Context) error { return n.pullHistory(ctx, c) })
	}
}

// pull runs f in the background unless a fetch of the same kind is in progress.
// It runs on the loop.
func (n *Node) pull(c *peer.Conn, kind string, f func(context.Context) error) {
	if n.pulling[kind] {
		return
	}
	n.pulling[kind] = true
	n.count.pulls.Inc(1)
	go func() {
		ctx, cancel := clock.WithTimeout(n.ctx, pullTimeout)
		defer cancel()
		if err := f(ctx); err != nil && n.ctx.Err() == nil {
			n.log.WithField("from", c.Remote().Host).WithError(err).Debug("Fetch from a peer failed.")
		}
		n.loop.Post(func() { delete(n.pulling, kind) })
	}()
}

func (n *Node) pullHead(ctx context.Context, c *peer.Conn, ageMs int64) error {
	b, err := blob(ctx, c, &peer.GetHead{})
	if err != nil {
		return err
	}
	h, err := intent.ParseHead(b)
	if err != nil {
		return err
	}
	at := clock.Now().Add(-time.Duration(ageMs) * time.Millisecond)
	return n.applyHead(ctx, h, at, func(ctx context.Context, p intent.PartRef) ([]byte, error) {
		return blob(ctx, c, &peer.GetPart{Digest: p.Digest})
	})
}

func (n *Node) pullHosts(ctx context.Context, c *peer.Conn) error {
	b, err := blob(ctx, c, &peer.GetHosts{})
	if err != nil {
		return err
	}
	n.applyHosts(b)
	return nil
}

// blob sends a request that is answered with a byte string, and returns that string.
func blob(ctx context.Context, c *peer.Conn, request peer.Message) ([]byte, error) {
	m, err := c.Call(ctx, request)
	if err != nil {
		return nil, err
	}
	b, ok := m.(*peer.Blob)
	if !ok || !b.Found {
		return nil, ErrUnexpectedReply
	}
	return b.Data, nil
}

// Handle serves a stream if its first message m concerns the control state, and
// reports whether m does.
func (n *Node) Handle(ctx context.Context, s *peer.Stream, m peer.Message) bool {
	switch m := m.(type) {
	case *peer.Heartbeat:
		n.handleHeartbeat(ctx, s, m)
	case *peer.GetHead:
		n.reply(ctx, s, n.headBytes)
	case *peer.GetPart:
		n.reply(ctx, s, func() []byte { return n.tracker.Part(m.Digest) })
	case *peer.GetHosts:
		n.reply(ctx, s, func() []byte { return n.hostsRaw })
	case *peer.GetHistory:
		n.handleHistory(ctx, s)
	default:
		return false
	}
	return true
}

func (n *Node) handleHeartbeat(ctx context.Context, s *peer.Stream, m *peer.Heartbeat) {
	var hb *peer.Heartbeat
	if n.loop.Call(func() {
		n.applyHeartbeat(s.Conn(), m)
		hb = n.heartbeat(clock.Now())
	}) == nil {
		_ = s.SendLast(ctx, hb)
	}
}

func (n *Node) reply(ctx context.Context, s *peer.Stream, read func() []byte) {
	var b []byte
	if n.loop.Call(func() { b = read() }) == nil {
		_ = s.SendLast(ctx, &peer.Blob{Found: b != nil, Data: b})
	}
}

// headBytes returns the accepted head in its published encoding.
func (n *Node) headBytes() []byte {
	a := n.tracker.Accepted()
	if a == nil {
		return nil
	}
	b, err := json.Marshal(a.Head)
	if err != nil {
		return nil
	}
	return b
}

// Status returns the control state for operators.
func (n *Node) Status() *peer.NodeStatus {
	st := &peer.NodeStatus{Host: n.cfg.Host, Domain: n.cfg.Domain, Role: string(n.cfg.Role),
		Incarnation: n.cfg.Incarnation, Format: intent.Format, Leaving: n.leaving.Load()}
	_ = n.loop.Call(func() {
		ref := n.tracker.Ref()
		st.Revision, st.Digest = ref.Revision, ref.Digest
		if p := n.tracker.Pending(); p != nil {
			st.Pending = p.Revision
		}
		if r := n.tracker.LastRejection(); r != nil {
			st.Rejected, st.RejectReason = r.Ref.Revision, r.Err.Error()
		}
		st.HeadAgeMs = clock.Since(n.confirmedAt).Milliseconds()
		st.Reader, st.Awake, st.HostsSerial = n.reader, n.awake, n.view.Serial()
	})
	return st
}
