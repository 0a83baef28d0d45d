package control

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/configservice"
	"github.com/springgate/springgate/hostlist"
	"github.com/springgate/springgate/intent"
	"github.com/springgate/springgate/loop"
	"golang.org/x/time/rate"
)

// watchRetryDelay is how long a reader waits after a failed watch.
const watchRetryDelay = time.Second

// updateReader makes this process a reader or ends that role, according to the
// members. It runs on the loop.
func (n *Node) updateReader(now time.Time) {
	members := n.snapshot.Load().Members
	_, listed := n.snapshot.Load().Member(n.cfg.Host)
	on := listed && n.awake && !n.leaving.Load() &&
		n.cfg.Readers.IsReader(n.cfg.Host, n.cfg.Domain, members)
	n.updateDirectLimit(len(members))
	if on == n.reader {
		return
	}
	n.reader = on
	if !on {
		n.stopReader()
		return
	}
	ctx, stop := context.WithCancel(n.ctx)
	n.stopReader = stop
	go n.watchHead(ctx)
	go n.watchHosts(ctx)
}

// updateDirectLimit sets the limit of directLimiter to this process's share of
// Readers.FallbackRate, given the number of processes in the fleet.
func (n *Node) updateDirectLimit(fleet int) {
	share := n.cfg.Readers.FallbackRate / float64(max(1, fleet))
	limit := rate.Limit(max(1, share))
	if n.directLimiter.Limit() != limit {
		n.directLimiter.SetLimit(limit)
	}
}

// watchHead watches the head at the platform while this process is a reader.
func (n *Node) watchHead(ctx context.Context) {
	for ctx.Err() == nil {
		if err := n.readHead(ctx, n.cfg.WatchTimeout, false); err != nil {
			loop.Sleep(ctx, watchRetryDelay)
		}
	}
}

// readHead reads the head, or watches it if wait is not 0, and applies it. If
// limited is true, reads of parts are subject to directLimiter.
func (n *Node) readHead(ctx context.Context, wait time.Duration, limited bool) error {
	var after intent.Ref
	if a := n.Snapshot().Accepted; a != nil && wait > 0 {
		after = a.Head.Ref()
	}
	n.count.directCalls.Inc(1)
	requested := clock.Now()
	h, err := n.service.Watch(ctx, after, wait)
	switch {
	case errors.Is(err, configservice.ErrUnchanged):
		n.loop.Post(func() { n.confirmHead(requested, n.tracker.Ref()) })
		return nil
	case errors.Is(err, intent.ErrHeadShape), errors.Is(err, intent.ErrHeadFormat):
		n.loop.Post(func() { n.offerHead(h) })
		return err
	case err != nil:
		n.count.platformFailures.Inc(1)
		return err
	}
	if err := n.applyHead(ctx, h, requested, n.partFromService(limited)); err != nil {
		n.count.platformFailures.Inc(1)
		return err
	}
	if v := n.verdict(h); v != intent.HeadAccepted && v != intent.HeadCurrent {
		// The platform answers a watch at once while its head is a rejected one
		// or older than the one in force here.
		loop.Sleep(ctx, watchRetryDelay)
	}
	return nil
}

// partReader reads one part of a fleet file.
type partReader func(ctx context.Context, p intent.PartRef) ([]byte, error)

func (n *Node) partFromService(limited bool) partReader {
	return func(ctx context.Context, p intent.PartRef) ([]byte, error) {
		if limited {
			if err := n.directLimiter.Wait(ctx); err != nil {
				return nil, err
			}
		}
		n.count.directCalls.Inc(1)
		return n.service.Part(ctx, p.Digest)
	}
}

// applyHead offers a head to the tracker, fetches its missing parts and then
// records the head as confirmed. requested is the time of the request to the
// platform that returned the head.
func (n *Node) applyHead(ctx context.Context, h intent.Head, requested time.Time, get partReader) error {
	var missing []intent.PartRef
	if err := n.loop.Call(func() {
		n.offerHead(h)
		missing = n.missingOf(h)
	}); err != nil {
		return err
	}
	for _, p := range missing {
		b, err := get(ctx, p)
		if err != nil {
			return err
		}
		n.loop.Post(func() { n.offerPart(b) })
	}
	return n.loop.Call(func() { n.confirmHead(requested, h.Ref()) })
}

// missingOf returns the parts of h that are missing, or none if h is not above
// the revision in force.
func (n *Node) missingOf(h intent.Head) []intent.PartRef {
	if !n.tracker.Ref().Less(h.Ref()) {
		return nil
	}
	missing := map[string]bool{}
	for _, d := range n.tracker.Missing() {
		missing[d.String()] = true
	}
	var out []intent.PartRef
	for _, p := range h.Parts {
		if missing[p.Digest.String()] {
			out = append(out, p)
		}
	}
	return out
}

// verdict returns the tracker's verdict on a head that was offered before.
func (n *Node) verdict(h intent.Head) intent.HeadVerdict {
	var v intent.HeadVerdict
	_ = n.loop.Call(func() { v, _ = n.tracker.OfferHead(clock.Now(), h) })
	return v
}

// offerHead offers a head to the tracker. It runs on the loop.
func (n *Node) offerHead(h intent.Head) {
	before := n.tracker.Ref()
	v, err := n.tracker.OfferHead(clock.Now(), h)
	switch v {
	case intent.HeadStale:
		n.count.staleHeads.Inc(1)
	case intent.HeadRejected:
		n.count.rejectedHeads.Inc(1)
		n.log.WithField("revision", h.Revision).WithError(err).Warn("Revision rejected.")
	}
	n.onAccepted(before)
}

func (n *Node) offerPart(b []byte) {
	before := n.tracker.Ref()
	if n.tracker.OfferPart(clock.Now(), b) {
		n.onAccepted(before)
	}
}

// onAccepted publishes a snapshot and gossips the revision in force, if that
// revision is another than the one given as before. It runs on the loop.
func (n *Node) onAccepted(before intent.Ref) {
	if n.tracker.Ref() == before {
		return
	}
	now := clock.Now()
	n.count.accepted.Inc(1)
	n.log.WithField("revision", n.tracker.Ref().Revision).Info("Revision in force.")
	n.extendHistory(now, before.Revision, n.tracker.Ref().Revision)
	n.publish(now)
	n.gossip(now) // propagate the revision without delay
}

// confirmHead records that the platform returned ref as its head at time at. A
// head below the revision in force comes from a stale replica and confirms
// nothing. A rejected head above the revision in force confirms that revision,
// since no newer valid one is published.
func (n *Node) confirmHead(at time.Time, ref intent.Ref) {
	if ref.Less(n.tracker.Ref()) {
		return
	}
	if at.After(n.confirmedAt) {
		n.confirmedAt = at
	}
	n.endPause()
}

// endPause allows the process to act on its state again after a pause.
func (n *Node) endPause() {
	if n.awake {
		return
	}
	n.awake = true
	n.log.Info("Caught up after a pause.")
	n.publish(clock.Now())
}

// fallback reads the head and the host list directly from the platform if the
// head has not been confirmed for Readers.StaleAfter or the process was paused.
// It runs on the loop.
func (n *Node) fallback(now time.Time) {
	stale := now.Sub(n.confirmedAt) > n.cfg.Readers.StaleAfter
	if !stale && n.awake || now.Before(n.nextFallback) || n.view.Len() == 0 {
		return
	}
	first := n.nextFallback.IsZero()
	n.nextFallback = now.Add(n.cfg.Readers.FallbackDelay(n.view.Len(), n.rng))
	if first && n.awake {
		return // a peer may confirm the head before the fallback delay ends
	}
	go func() {
		_ = n.readHead(n.ctx, 0, true)
		n.readHosts()
	}()
}

// watchHosts polls the host list while this process is a reader.
func (n *Node) watchHosts(ctx context.Context) {
	for ctx.Err() == nil {
		n.readHosts()
		loop.Sleep(ctx, n.cfg.HostListInterval)
	}
}

func (n *Node) readHosts() {
	raw, err := n.hosts.Read(n.ctx, n.Snapshot().HostsSerial)
	if errors.Is(err, hostlist.ErrUnchanged) {
		return
	}
	if err != nil {
		n.count.platformFailures.Inc(1)
		n.log.WithError(err).Debug("Cannot read the host list.")
		return
	}
	n.applyHosts(raw)
}

// applyHosts applies a host list in its published encoding.
func (n *Node) applyHosts(raw []byte) {
	l, err := hostlist.Parse(raw)
	if err != nil {
		n.log.WithError(err).Warn("Host list rejected.")
		return
	}
	n.loop.Post(func() {
		now := clock.Now()
		if !n.view.ApplyList(now, l.Serial, l.Listed()) {
			return
		}
		n.hostsRaw = raw
		n.gossipPeers = nil
		n.publish(now)
		n.closeUnlisted()
		n.gossip(now)
	})
}

// closeUnlisted closes connections to processes that are no longer in the host list.
func (n *Node) closeUnlisted() {
	listed := map[string]bool{}
	for _, m := range n.snapshot.Load().Members {
		listed[m.Addr] = true
	}
	n.pool.Keep(func(addr string) bool { return listed[addr] })
}
