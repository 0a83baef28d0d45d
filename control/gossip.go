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

// maxNotices bounds the leaving notices in one heartbeat.
const maxNotices = 16

// pullTimeout bounds the fetch of a fleet file or host list from a peer.
const pullTimeout = 5 * time.Second

// ErrAnswer is returned if a peer answers with another message than asked for.
var ErrAnswer = errors.New("control: unexpected answer of a peer")

// round exchanges heartbeats with a few hosts. It runs on the loop.
func (n *Node) round(now time.Time) {
	n.lastRound = now
	hb := n.heartbeat(now)
	n.choosePartners(now)
	for _, m := range membership.GossipTargets(n.cfg.Host, n.cfg.Domain, n.partners, n.cfg.Near, n.cfg.Far, n.rng) {
		go n.exchange(m, hb)
	}
}

// Partners are drawn anew now and then, so that a process has few connections
// at a time and meets all others in the long run.
const (
	partnerFactor = 3 // partners for each host that gets a heartbeat in a round
	partnersFor   = 10 * time.Second
)

func (n *Node) choosePartners(now time.Time) {
	if now.Sub(n.partnersAt) < partnersFor && len(n.partners) > 0 {
		return
	}
	n.partnersAt = now
	n.partners = membership.GossipTargets(n.cfg.Host, n.cfg.Domain, n.snapshot.Load().Members,
		partnerFactor*n.cfg.Near, partnerFactor*n.cfg.Far, n.rng)
	n.pool.CloseIdle(now, idleConn)
}

// idleConn is how long a connection may be unused.
const idleConn = 2 * partnersFor

// heartbeat returns what this process says about itself. It runs on the loop.
func (n *Node) heartbeat(now time.Time) *peer.Heartbeat {
	ref := n.fold.Ref()
	hb := &peer.Heartbeat{Host: n.cfg.Host, Incarnation: n.cfg.Incarnation, Leaving: n.leaving.Load(),
		Revision: ref.Revision, Digest: ref.Digest, HeadAgeMs: now.Sub(n.proof).Milliseconds(),
		HostsSerial: n.view.Serial()}
	for _, x := range n.view.Notices(maxNotices) {
		hb.Notices = append(hb.Notices, peer.Notice{Host: x.Host, Incarnation: x.Incarnation})
	}
	return hb
}

// exchange sends a heartbeat to one host and takes its reply.
func (n *Node) exchange(m membership.Member, hb *peer.Heartbeat) {
	ctx, cancel := clock.WithTimeout(n.ctx, callTimeout)
	defer cancel()
	n.count.heartbeatsOut.Inc(1)
	c, err := n.pool.Get(ctx, m.Addr, peer.Control)
	if err != nil {
		n.failed(m.Host)
		return
	}
	reply, err := c.Call(ctx, hb)
	h, ok := reply.(*peer.Heartbeat)
	if err != nil || !ok {
		n.failed(m.Host)
		return
	}
	n.loop.Post(func() { n.heard(c, h) })
}

// failed notes that a host could not be reached.
func (n *Node) failed(host string) {
	if n.ctx.Err() == nil {
		n.loop.Post(func() {
			n.view.RecordFailure(clock.Now(), host)
			n.partners = nil // draw others
		})
	}
}

// heard takes a heartbeat that came from its sender. It runs on the loop.
func (n *Node) heard(c *peer.Conn, h *peer.Heartbeat) {
	now := clock.Now()
	n.count.heartbeatsIn.Inc(1)
	n.view.RecordStatus(now, h.Host, h.Incarnation, h.Leaving, h.Revision)
	for _, x := range h.Notices {
		n.view.RecordNotice(now, membership.Notice{Host: x.Host, Incarnation: x.Incarnation})
	}
	ref := intent.Ref{Revision: h.Revision, Digest: h.Digest}
	switch {
	case n.fold.Ref().Less(ref):
		n.pull(c, "head", func(ctx context.Context) error { return n.pullHead(ctx, c, h.HeadAgeMs) })
	case ref == n.fold.Ref() && ref.Revision > 0:
		n.proven(now.Add(-time.Duration(h.HeadAgeMs)*time.Millisecond), ref)
	}
	if h.HostsSerial > n.view.Serial() {
		n.pull(c, "hosts", func(ctx context.Context) error { return n.pullHosts(ctx, c) })
	}
	if !n.asked[h.Host] && len(n.asked) < historyPeers {
		n.asked[h.Host] = true
		n.pull(c, "history/"+h.Host, func(ctx context.Context) error { return n.pullHistory(ctx, c) })
	}
}

// pull runs one fetch of a kind at a time. It runs on the loop.
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
	return n.take(ctx, h, at, func(ctx context.Context, p intent.PartRef) ([]byte, error) {
		return blob(ctx, c, &peer.GetPart{Digest: p.Digest})
	})
}

func (n *Node) pullHosts(ctx context.Context, c *peer.Conn) error {
	b, err := blob(ctx, c, &peer.GetHosts{})
	if err != nil {
		return err
	}
	n.takeHosts(b)
	return nil
}

// blob asks for a byte string.
func blob(ctx context.Context, c *peer.Conn, ask peer.Message) ([]byte, error) {
	m, err := c.Call(ctx, ask)
	if err != nil {
		return nil, err
	}
	b, ok := m.(*peer.Blob)
	if !ok || !b.Found {
		return nil, ErrAnswer
	}
	return b.Data, nil
}

// Handle serves a stream about control state. It reports false for messages
// of other parts.
func (n *Node) Handle(ctx context.Context, s *peer.Stream, m peer.Message) bool {
	switch m := m.(type) {
	case *peer.Heartbeat:
		n.handleHeartbeat(ctx, s, m)
	case *peer.GetHead:
		n.reply(ctx, s, n.headBytes)
	case *peer.GetPart:
		n.reply(ctx, s, func() []byte { return n.fold.Part(m.Digest) })
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
		n.heard(s.Conn(), m)
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

// headBytes returns the accepted head in its published form.
func (n *Node) headBytes() []byte {
	a := n.fold.Accepted()
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
		ref := n.fold.Ref()
		st.Revision, st.Digest = ref.Revision, ref.Digest
		if p := n.fold.Pending(); p != nil {
			st.Pending = p.Revision
		}
		if r := n.fold.LastRejection(); r != nil {
			st.Rejected, st.RejectReason = r.Ref.Revision, r.Err.Error()
		}
		st.HeadAgeMs = clock.Since(n.proof).Milliseconds()
		st.Reader, st.Awake, st.HostsSerial = n.reader, n.awake, n.view.Serial()
	})
	return st
}
