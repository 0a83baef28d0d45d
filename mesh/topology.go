package mesh

import (
	"context"
	"math/rand/v2"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/membership"
	"github.com/springgate/springgate/overlay"
	"github.com/springgate/springgate/peer"
)

const (
	// bootstrapLinks is how many of the addresses that it was told an entry contacts, besides
	// the seeds, while it knows no live entry of a large fleet.
	bootstrapLinks = 4
	// linkLinger is how long a link is kept that the overlay has no more, until the links that
	// replace it are open.
	linkLinger = 2 * time.Second
	// probeInterval is the time between two attempts to contact a lost entry, so that the parts
	// of a fleet find each other after a partition.
	probeInterval = time.Second
	// minLargeRoundGap is the least time between two rounds of Mesh.Run in a large fleet: what
	// is passed on within it goes into one message.
	minLargeRoundGap = 50 * time.Millisecond
)

// large reports whether this entry keeps links to some of the entries only. The lock must be
// held.
func (m *Mesh) large() bool { return !m.overlay.Complete() }

func (m *Mesh) isLarge() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.large()
}

// minRoundGap returns the least time between two rounds of Run.
func (m *Mesh) minRoundGap() time.Duration {
	if m.isLarge() {
		return minLargeRoundGap
	}
	return m.cfg.Interval
}

// registerGauges adds gauges of the live entries and of the links to other entries.
func (m *Mesh) registerGauges() {
	gauge := func(name string, n func() int) {
		metrics.NewRegisteredFunctionalGauge("mesh."+name, m.metrics, func() int64 {
			m.mu.Lock()
			defer m.mu.Unlock()
			return int64(n())
		})
	}
	gauge("entries", func() int { return len(m.live) + 1 })
	gauge("links", func() int { return len(m.links) })
	gauge("accounts", func() int { return len(m.accounts) })
	gauge("lost_entries", func() int { return len(m.records.Lost()) })
}

// updateOverlay computes the overlay of the live entries.
func (m *Mesh) updateOverlay(now time.Time) {
	wasLarge, large := m.large(), m.members.Size(now) > overlay.CompleteUpTo
	if large != wasLarge {
		m.vouchAll(now, large)
	}
	others := m.members.Live(now)
	live := append(append(make([]peer.Presence, 0, len(others)+1), m.self), others...)
	m.overlay = overlay.New(live, !large)
	if large && !wasLarge {
		m.becameLarge(now)
	}
}

// entryLinks returns the addresses of the entries that this entry links to.
func (m *Mesh) entryLinks() []string {
	switch {
	case !m.large():
		return m.members.Addrs()
	case len(m.overlay.All()) == 1:
		return append(membership.Rank(m.self.Addr, m.members.Addrs(), bootstrapLinks), m.otherSeeds()...)
	}
	out := m.overlay.Neighbours(m.self.Addr, m.self.Domain)
	if m.probe != "" {
		out = append(out, m.probe)
	}
	return out
}

func (m *Mesh) otherSeeds() []string {
	var out []string
	for _, s := range m.seeds {
		if s != m.self.Addr {
			out = append(out, s)
		}
	}
	return out
}

// closeUnwanted closes the links that have been unwanted for linkLinger, and accounts without
// loads.
func (m *Mesh) closeUnwanted(now time.Time) {
	for addr, l := range m.links {
		if !l.unwantedSince.IsZero() && now.Sub(l.unwantedSince) >= linkLinger {
			l.cancel()
			delete(m.links, addr)
		}
	}
	for addr, l := range m.accounts {
		if now.Sub(l.loadedAt) >= accountIdle || m.links[addr] != nil && m.links[addr].up {
			l.cancel()
			delete(m.accounts, addr)
		}
	}
}

// chooseProbe chooses another lost entry or seed to contact. It reports whether it did.
func (m *Mesh) chooseProbe(now time.Time) bool {
	if now.Before(m.gossipTimes.nextProbe) {
		return false
	}
	m.gossipTimes.nextProbe = now.Add(probeInterval)
	lost := m.records.Lost()
	for _, s := range m.otherSeeds() {
		if !hasAddr(m.live, s) {
			lost = append(lost, s)
		}
	}
	next := ""
	if len(lost) > 0 {
		next = lost[rand.IntN(len(lost))]
	}
	changed := next != m.probe
	m.probe = next
	return changed
}

// streamAccepted counts the streams that an entry has opened to this one. One that has opened a
// stream sends its state on it at least once in Config.Heartbeat.
func (m *Mesh) streamAccepted(addr string, change int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inbound[addr] += change
	if m.inbound[addr] > 0 {
		return
	}
	delete(m.inbound, addr)
	if m.large() && m.listener != nil {
		m.listener.EntryLost(addr)
	}
}

// suspectSilent suspects the entries that have a stream to this one open and send nothing. If
// most are silent, it is rather this process that is cut off; if it is late, it may not have read
// what they sent.
func (m *Mesh) suspectSilent(now time.Time) {
	if m.lateness.late(now) {
		return
	}
	var silent []string
	for addr := range m.inbound {
		if m.members.Silent(now, addr) {
			silent = append(silent, addr)
		}
	}
	if 2*len(silent) > len(m.inbound) {
		return
	}
	for _, addr := range silent {
		m.suspect(now, addr, "silent")
	}
}

// suspect makes a suspicion, which is passed on to all entries.
func (m *Mesh) suspect(now time.Time, addr, reason string) {
	if m.records.Suspect(now, addr) {
		m.log.WithFields(logrus.Fields{"peer": addr, "reason": reason}).Info("Entry suspected.")
	}
}

// lostContact records that a link to an entry cannot be opened. If no link is open, it is rather
// this process that is cut off.
func (m *Mesh) lostContact(addr string) {
	now := clock.Now()
	m.members.MarkUnreachable(addr)
	m.members.Distrust(now, addr)
	for _, l := range m.links {
		if l.up {
			m.suspect(now, addr, "unreachable")
			break
		}
	}
	m.wake()
}

// openLink starts a link.
func (m *Mesh) openLink(ctx context.Context, l *link) *link {
	ctx, l.cancel = context.WithCancel(ctx)
	l.mesh, l.wake = m, make(chan struct{}, 1)
	go l.run(ctx)
	return l
}
