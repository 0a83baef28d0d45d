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

// watchRetry is how long a reader waits after a failed watch.
const watchRetry = time.Second

// updateReader starts or stops the reader's duty. It runs on the loop.
func (n *Node) updateReader(now time.Time) {
	members := n.snapshot.Load().Members
	_, listed := n.snapshot.Load().Member(n.cfg.Host)
	on := listed && n.awake && !n.leaving.Load() &&
		n.cfg.Readers.IsReader(n.cfg.Host, n.cfg.Domain, members)
	n.limitDirect(len(members))
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

// limitDirect shares the fleet's fallback rate among its processes.
func (n *Node) limitDirect(fleet int) {
	share := n.cfg.Readers.FallbackRate / float64(max(1, fleet))
	limit := rate.Limit(max(1, share))
	if n.direct.Limit() != limit {
		n.direct.SetLimit(limit)
	}
}

// watchHead is the duty of a reader: it watches the head at the platform.
func (n *Node) watchHead(ctx context.Context) {
	for ctx.Err() == nil {
		if err := n.readHead(ctx, n.cfg.WatchTimeout, false); err != nil {
			loop.Sleep(ctx, watchRetry)
		}
	}
}

// readHead reads or watches the head and offers it. limited says whether the
// reads of parts obey the limit on direct calls.
func (n *Node) readHead(ctx context.Context, wait time.Duration, limited bool) error {
	var after intent.Ref
	if a := n.Snapshot().Accepted; a != nil && wait > 0 {
		after = a.Head.Ref()
	}
	n.count.directCalls.Inc(1)
	asked := clock.Now()
	h, err := n.service.Watch(ctx, after, wait)
	switch {
	case errors.Is(err, configservice.ErrUnchanged):
		n.loop.Post(func() { n.proven(asked, n.fold.Ref()) })
		return nil
	case errors.Is(err, intent.ErrHeadShape), errors.Is(err, intent.ErrHeadFormat):
		n.loop.Post(func() { n.offerHead(h) })
		return err
	case err != nil:
		n.count.platformFailures.Inc(1)
		return err
	}
	if err := n.take(ctx, h, asked, n.partFromService(limited)); err != nil {
		n.count.platformFailures.Inc(1)
		return err
	}
	if v := n.verdict(h); v != intent.HeadAccepted && v != intent.HeadCurrent {
		loop.Sleep(ctx, watchRetry) // a watch for a rejected or older head returns at once
	}
	return nil
}

// partReader gets one part of a fleet file.
type partReader func(ctx context.Context, p intent.PartRef) ([]byte, error)

func (n *Node) partFromService(limited bool) partReader {
	return func(ctx context.Context, p intent.PartRef) ([]byte, error) {
		if limited {
			if err := n.direct.Wait(ctx); err != nil {
				return nil, err
			}
		}
		n.count.directCalls.Inc(1)
		return n.service.Part(ctx, p.Digest)
	}
}

// take offers a head and fetches the parts that it misses. asked is when the
// head was asked for, which is when it was proven.
func (n *Node) take(ctx context.Context, h intent.Head, asked time.Time, get partReader) error {
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
	return n.loop.Call(func() { n.proven(asked, h.Ref()) })
}

// missingOf lists the parts of h that are not held, if h is wanted at all.
func (n *Node) missingOf(h intent.Head) []intent.PartRef {
	if !n.fold.Ref().Less(h.Ref()) {
		return nil
	}
	wanted := map[string]bool{}
	for _, d := range n.fold.Missing() {
		wanted[d.String()] = true
	}
	var out []intent.PartRef
	for _, p := range h.Parts {
		if wanted[p.Digest.String()] {
			out = append(out, p)
		}
	}
	return out
}

// verdict says what became of a head that was offered.
func (n *Node) verdict(h intent.Head) intent.HeadVerdict {
	var v intent.HeadVerdict
	_ = n.loop.Call(func() { v, _ = n.fold.OfferHead(clock.Now(), h) })
	return v
}

// offerHead takes note of a head. It runs on the loop.
func (n *Node) offerHead(h intent.Head) {
	before := n.fold.Ref()
	v, err := n.fold.OfferHead(clock.Now(), h)
	switch v {
	case intent.HeadStale:
		n.count.staleHeads.Inc(1)
	case intent.HeadRejected:
		n.count.rejectedHeads.Inc(1)
		n.log.WithField("revision", h.Revision).WithError(err).Warn("Revision rejected.")
	}
	n.accepted(before)
}

func (n *Node) offerPart(b []byte) {
	before := n.fold.Ref()
	if n.fold.OfferPart(clock.Now(), b) {
		n.accepted(before)
	}
}

// accepted acts on a revision that has come into force. It runs on the loop.
func (n *Node) accepted(before intent.Ref) {
	if n.fold.Ref() == before {
		return
	}
	now := clock.Now()
	n.count.accepted.Inc(1)
	n.log.WithField("revision", n.fold.Ref().Revision).Info("Revision in force.")
	n.extendHistory(now, before.Revision, n.fold.Ref().Revision)
	n.publish(now)
	n.round(now) // tell others at once
}

// proven notes that the platform showed ref as its head at time at. A head
// below the revision in force comes from a stale replica and proves nothing;
// one above it that was rejected proves that none better is published.
func (n *Node) proven(at time.Time, ref intent.Ref) {
	if ref.Less(n.fold.Ref()) {
		return
	}
	if at.After(n.proof) {
		n.proof = at
	}
	n.caughtUp()
}

// caughtUp ends the state after a pause.
func (n *Node) caughtUp() {
	if n.awake {
		return
	}
	n.awake = true
	n.log.Info("Caught up.")
	n.publish(clock.Now())
}

// fallback reads the platform directly if nobody has proven the head for too
// long. It runs on the loop.
func (n *Node) fallback(now time.Time) {
	old := now.Sub(n.proof) > n.cfg.Readers.StaleAfter
	if !old && n.awake || now.Before(n.nextFallback) || n.view.Len() == 0 {
		return
	}
	first := n.nextFallback.IsZero()
	n.nextFallback = now.Add(n.cfg.Readers.FallbackDelay(n.view.Len(), n.rng))
	if first && n.awake {
		return // others may be about to tell
	}
	go func() {
		_ = n.readHead(n.ctx, 0, true)
		n.readHosts()
	}()
}

// watchHosts is the duty of a reader: it reads the host list.
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
		n.log.WithError(err).Debug("Host list not read.")
		return
	}
	n.takeHosts(raw)
}

// takeHosts applies a host list in its published form.
func (n *Node) takeHosts(raw []byte) {
	l, err := hostlist.Parse(raw)
	if err != nil {
		n.log.WithError(err).Warn("Host list refused.")
		return
	}
	n.loop.Post(func() {
		now := clock.Now()
		if !n.view.ApplyList(now, l.Serial, l.Listed()) {
			return
		}
		n.hostsRaw = raw
		n.partners = nil
		n.publish(now)
		n.closeUnlisted()
		n.round(now)
	})
}

// closeUnlisted closes connections to processes that are gone.
func (n *Node) closeUnlisted() {
	addrs := map[string]bool{}
	for _, m := range n.snapshot.Load().Members {
		addrs[m.Addr] = true
	}
	n.pool.Keep(func(addr string) bool { return addrs[addr] })
}
