package mesh

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/gossip"
	"github.com/springgate/springgate/peer"
)

const (
	// syncInterval is the mean time between two comparisons of all records with those of a
	// neighbour, which make up for what was lost with a broken link.
	syncInterval = 3 * time.Second
	// soonSyncInterval is that time during the startPeriod after this entry has learned that
	// the fleet is large, in which the neighbours may know little themselves, and after a link
	// has opened.
	soonSyncInterval = 500 * time.Millisecond
	startPeriod      = 10 * time.Second
	// recentChanges is how far back changes are sent on a link that opens.
	recentChanges = 3 * time.Second
)

// gossipTimes are times that decide on the next steps.
type gossipTimes struct {
	heard       time.Time // last gossip that arrived while this entry thought the fleet small
	becameLarge time.Time // when this entry learned that the fleet is large
	nextSync    time.Time // earliest time of the next comparison with a neighbour
	nextProbe   time.Time // earliest time of the next attempt to contact a lost entry
}

// refreshRecords applies what follows from the records by the passing of time. The lock must be
// held.
func (m *Mesh) refreshRecords(now time.Time) {
	m.records.SetSelf(now, m.leaving, m.failing())
	lost := m.records.Expire(now)
	if !m.large() {
		return
	}
	m.vouch(now, lost)
	m.suspectSilent(now)
}

// gossipRound passes changed records on, and compares all records with those of a neighbour from
// time to time. The lock must be held.
func (m *Mesh) gossipRound(now time.Time) {
	changes := m.records.TakeChanges()
	if !m.large() {
		if now.Sub(m.gossipTimes.heard) < startPeriod {
			m.sync(now)
		}
		return
	}
	if !changes.Empty() {
		for addr, l := range m.links {
			if l.unwantedSince.IsZero() {
				l.queueRecords(changes.For(addr))
			}
		}
	}
	m.sync(now)
	if m.chooseProbe(now) {
		m.members.version++ // the links change with the probe
		m.wake()
	}
}

// sync asks a neighbour for the records that differ.
func (m *Mesh) sync(now time.Time) {
	if now.Before(m.gossipTimes.nextSync) {
		return
	}
	var up []*link
	for _, l := range m.links {
		if l.up {
			up = append(up, l)
		}
	}
	if len(up) == 0 {
		return
	}
	known := len(m.live) > 0
	up[rand.IntN(len(up))].queueDigest(m.records.Digest(known))
	m.gossipTimes.nextSync = now.Add(soonSyncInterval)
	if m.large() && now.Sub(m.gossipTimes.becameLarge) >= startPeriod {
		m.gossipTimes.nextSync = now.Add(syncInterval/2 + rand.N(syncInterval))
	}
}

// gossipLinkOpened queues what a neighbour may not know yet. The lock must be held.
func (m *Mesh) gossipLinkOpened(l *link) {
	now := clock.Now()
	l.queueRecords(m.records.Since(now.Add(-recentChanges)))
	if l.addr == m.probe {
		l.queueDigest(m.records.Digest(true))
	}
	if soon := now.Add(soonSyncInterval); soon.Before(m.gossipTimes.nextSync) {
		m.gossipTimes.nextSync = soon
	}
}

// becameLarge makes the reports that this entry forwards known by gossip; up to now they were sent
// to each entry.
func (m *Mesh) becameLarge(now time.Time) {
	m.gossipTimes.becameLarge = now
	for _, f := range m.forwarded {
		m.records.Forward(now, f.report)
	}
	neighbours := m.overlay.Neighbours(m.self.Addr, m.self.Domain)
	for addr, l := range m.links {
		if slices.Contains(neighbours, addr) {
			l.queueRecords(m.records.Since(time.Time{}))
		}
		for engine := range m.forwarded { // what was sent on the link itself is void
			l.queueRelayed(peer.RelayedState{EngineAddr: engine, Withdrawn: true})
		}
	}
}

// mergeGossip adds the records that a neighbour sent.
func (m *Mesh) mergeGossip(from string, msg *peer.Gossip) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := clock.Now()
	u := m.records.Merge(now, msg, from)
	if !m.large() {
		m.addAddrs(now, u.Members)
	}
	m.applyUpdate(now, u)
	m.wake()
}

// applyUpdate applies changed records to the members and the reports of engines.
func (m *Mesh) applyUpdate(now time.Time, u gossip.Update) {
	if m.large() {
		m.vouch(now, u.Members)
	}
	for _, addr := range u.Restarted {
		m.engines.removeSource(reportSource{forwarder: addr})
		m.applyReports(m.records.ReportsOf(addr))
	}
	m.applyReports(u.Engines)
}

// addAddrs adds the addresses of live entries that a neighbour told of. An entry that knows few
// others itself, for it has just started, learns in this way that the fleet is large.
func (m *Mesh) addAddrs(now time.Time, addrs []string) {
	m.gossipTimes.heard = now
	for _, addr := range addrs {
		if _, live := m.records.Member(addr); live {
			m.members.AddAddr(addr)
		}
	}
}

// answerDigest returns the records that another entry lacks.
func (m *Mesh) answerDigest(d *peer.GossipDigest) *peer.Gossip {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.records.Answer(d)
}

// vouch applies the records of entries to the members.
func (m *Mesh) vouch(now time.Time, addrs []string) {
	for _, addr := range addrs {
		r, live := m.records.Member(addr)
		m.members.Vouch(now, r.Presence(), live)
	}
}

// vouchAll applies all records to the members or, if believe is false, none: in a small fleet each
// entry counts as live only if it is heard itself.
func (m *Mesh) vouchAll(now time.Time, believe bool) {
	for _, addr := range m.records.Members() {
		r, live := m.records.Member(addr)
		m.members.Vouch(now, r.Presence(), live && believe)
	}
}

// applyReports applies reports of engines that live entries forward.
func (m *Mesh) applyReports(list []peer.EngineRecord) {
	for _, r := range list {
		source := reportSource{forwarder: r.Forwarder}
		if r.Report.Withdrawn {
			m.engines.remove(source, r.Report.EngineAddr)
		} else if hasAddr(m.live, r.Forwarder) {
			m.engines.add(source, fromRelayedState(r.Report))
		}
	}
}

// pendingRecords are records that wait to be sent on a link; of each the newest.
type pendingRecords struct {
	members map[string]peer.MemberRecord
	engines map[[2]string]peer.EngineRecord // by addresses of engine and forwarder
}

func (p *pendingRecords) add(g *peer.Gossip) {
	if p.members == nil {
		p.members, p.engines = map[string]peer.MemberRecord{}, map[[2]string]peer.EngineRecord{}
	}
	for _, r := range g.Members {
		p.members[r.Addr] = r
	}
	for _, r := range g.Engines {
		p.engines[[2]string{r.Report.EngineAddr, r.Forwarder}] = r
	}
}

// take returns the message with the pending records, or nil.
func (p *pendingRecords) take() peer.Message {
	if len(p.members)+len(p.engines) == 0 {
		return nil
	}
	msg := &peer.Gossip{}
	for _, r := range p.members {
		msg.Members = append(msg.Members, r)
	}
	for _, r := range p.engines {
		msg.Engines = append(msg.Engines, r)
	}
	*p = pendingRecords{}
	return msg
}

func (l *link) queueRecords(g *peer.Gossip) {
	if len(g.Members)+len(g.Engines) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records.add(g)
	l.signal()
}

func (l *link) queueDigest(d *peer.GossipDigest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.digest = d
	l.signal()
}

// noticeRepeat is the time after which unchanged notices of targets are sent again on a link of a
// large fleet.
const noticeRepeat = 5 * time.Second

// sentNotices are the notices last sent on a link.
type sentNotices struct {
	list []peer.TargetNotice
	at   time.Time
}

// trim leaves out of a load report what was sent on the link lately. In a large fleet many targets
// may have declared something, and homes get full reports often.
func (l *link) trim(msg peer.Message) peer.Message {
	loads, ok := msg.(*peer.Loads)
	if !ok || !loads.Full || !l.mesh.isLarge() {
		return msg
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	// stamped has made a copy for this link.
	now := clock.Now()
	l.trimNotices(now, loads)
	l.trimShortages(now, loads)
	return loads
}

// trimNotices leaves out unchanged notices. The lock must be held.
func (l *link) trimNotices(now time.Time, loads *peer.Loads) {
	if slices.Equal(l.notices.list, loads.Notices) && now.Sub(l.notices.at) < noticeRepeat {
		loads.Notices = nil
		return
	}
	l.notices = sentNotices{loads.Notices, now}
}

// shortageInterval is the minimum time between two reports of shortages on a link of a large fleet.
const shortageInterval = 200 * time.Millisecond

// trimShortages leaves out shortages that were sent less than shortageInterval ago. The receiver
// keeps what it was told until then. The lock must be held.
func (l *link) trimShortages(now time.Time, loads *peer.Loads) {
	if len(loads.Added.Shortages) == 0 {
		return
	}
	if now.Sub(l.shortageAt) < shortageInterval {
		loads.Added.Shortages = nil
		return
	}
	l.shortageAt = now
}
