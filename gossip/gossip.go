// Package gossip holds what the entries of a large fleet tell each other through their
// neighbours: which entries there are, and the reports of engines. Each record is issued by one
// entry and numbered by it, so that an old message changes nothing, in whatever order messages
// arrive. An entry that loses contact with another suspects it; the other refutes that with a
// newer record, or is taken for lost by each entry after some time. The package performs no I/O
// and reads no clock.
package gossip

import (
	"time"

	"github.com/springgate/springgate/peer"
)

const (
	// ConfirmAfter is the time after which an entry counts as lost whose suspicion was not
	// refuted: longer than the suspicion needs to reach it and the refutation needs to come
	// back, each over five links with a round of up to 100 ms at each.
	ConfirmAfter = time.Second
	// forgetAfter is how long the records of lost entries, and of reports that were
	// withdrawn, are kept. Lost entries are contacted again and again in this time.
	forgetAfter = 10 * time.Minute
)

// Table holds the records known to one entry.
type Table struct {
	self    peer.MemberRecord
	selfAt  time.Time // when the own record was last changed
	seq     uint64    // of the own engine records
	members map[string]*member
	engines map[engineKey]*engine

	changedMembers map[string]string    // since TakeChanges, with the neighbour that told of the change
	changedEngines map[engineKey]string // likewise
}

type member struct {
	record      peer.MemberRecord
	suspectedAt time.Time // when the suspicion became known
	lost        bool
	changedAt   time.Time
}

func (m *member) live() bool { return !m.lost && !m.record.Leaving }

// engineKey identifies the reports of an engine that one entry forwards.
type engineKey struct{ engine, forwarder string }

func keyOf(r peer.EngineRecord) engineKey { return engineKey{r.Report.EngineAddr, r.Forwarder} }

type engine struct {
	record    peer.EngineRecord
	changedAt time.Time
}

// NewTable returns a table that holds the own record only.
func NewTable(now time.Time, self peer.Presence) *Table {
	r := recordOf(self)
	return &Table{self: r, selfAt: now, members: map[string]*member{}, engines: map[engineKey]*engine{},
		changedMembers: map[string]string{r.Addr: ""}, changedEngines: map[engineKey]string{}}
}

// recordOf returns the first record of an entry.
func recordOf(p peer.Presence) peer.MemberRecord {
	return peer.MemberRecord{Addr: p.Addr, Host: p.Host, Domain: p.Domain, Incarnation: p.Incarnation, LinkMbps: p.LinkMbps,
		Leaving: p.Leaving, StoreFailing: p.Store.Failing, Generation: p.Incarnation}
}

// SetSelf updates the own record.
func (t *Table) SetSelf(now time.Time, leaving, storeFailing bool) {
	if t.self.Leaving == leaving && t.self.StoreFailing == storeFailing {
		return
	}
	t.self.Leaving, t.self.StoreFailing = leaving, storeFailing
	t.reissueSelf(now, t.self.Generation)
}

// reissueSelf issues the own record again with a generation above the given one.
func (t *Table) reissueSelf(now time.Time, above uint64) {
	t.self.Generation, t.selfAt = above+1, now
	t.changedMembers[t.self.Addr] = ""
}

// Update is what a message has changed.
type Update struct {
	Members   []string            // addresses of entries whose record has changed
	Restarted []string            // those of which another process was known; its reports are void
	Engines   []peer.EngineRecord // reports that are new
}

// Merge adds the records that a neighbour sent.
func (t *Table) Merge(now time.Time, msg *peer.Gossip, from string) Update {
	var u Update
	for _, r := range msg.Members {
		t.mergeMember(now, r, from, &u)
	}
	for _, r := range msg.Engines {
		if t.mergeEngine(now, r, from) {
			u.Engines = append(u.Engines, r)
		}
	}
	return u
}

// Introduce adds an entry that this one met itself, unless it is known.
func (t *Table) Introduce(now time.Time, p peer.Presence) Update {
	var u Update
	t.mergeMember(now, recordOf(p), "", &u)
	return u
}

func (t *Table) mergeMember(now time.Time, r peer.MemberRecord, from string, u *Update) {
	if r.Addr == t.self.Addr {
		t.defend(now, r)
		return
	}
	old := t.members[r.Addr]
	if r.Addr == "" || old != nil && !newer(r, old.record) {
		return
	}
	next := &member{record: r, changedAt: now}
	if r.Suspected {
		// Who is not known yet is believed lost; otherwise the entry gets the time to refute
		// it: the sender may have lost contact with everybody.
		next.suspectedAt, next.lost = now, old == nil && r.Lost || old != nil && old.lost
	}
	t.members[r.Addr] = next
	t.changedMembers[r.Addr] = from
	u.Members = append(u.Members, r.Addr)
	sameProcess := old != nil && old.record.Incarnation == r.Incarnation
	if !sameProcess && t.dropReports(r.Addr, r.Incarnation) {
		u.Restarted = append(u.Restarted, r.Addr)
	}
}

// newer orders the records of one entry.
func newer(a, b peer.MemberRecord) bool {
	if a.Generation != b.Generation {
		return a.Generation > b.Generation
	}
	return a.Suspected && !b.Suspected
}

// defend refutes a suspicion of this entry, and supersedes records of an earlier process at its
// address.
func (t *Table) defend(now time.Time, r peer.MemberRecord) {
	if r.Generation > t.self.Generation || r.Generation == t.self.Generation && r.Suspected {
		t.reissueSelf(now, r.Generation)
	}
}

// dropReports removes the reports that other processes of an entry forwarded, and reports whether
// there were any.
func (t *Table) dropReports(forwarder string, incarnation uint64) (dropped bool) {
	for k, e := range t.engines {
		if k.forwarder == forwarder && e.record.ForwarderIncarnation != incarnation {
			delete(t.engines, k)
			dropped = true
		}
	}
	return dropped
}

func (t *Table) mergeEngine(now time.Time, r peer.EngineRecord, from string) bool {
	if r.Forwarder == t.self.Addr {
		t.withdrawUnknown(now, r)
		return false
	}
	k := keyOf(r)
	if old := t.engines[k]; old != nil && !newerReport(r, old.record) {
		return false
	}
	if m := t.members[r.Forwarder]; m != nil && m.record.Incarnation > r.ForwarderIncarnation {
		return false // of an earlier process
	}
	t.engines[k] = &engine{r, now}
	t.changedEngines[k] = from
	return true
}

func newerReport(a, b peer.EngineRecord) bool {
	if a.ForwarderIncarnation != b.ForwarderIncarnation {
		return a.ForwarderIncarnation > b.ForwarderIncarnation
	}
	return a.Seq > b.Seq
}

// withdrawUnknown withdraws a report that this process has withdrawn before, so long ago that it
// does not hold the record any more.
func (t *Table) withdrawUnknown(now time.Time, r peer.EngineRecord) {
	if r.ForwarderIncarnation == t.self.Incarnation && !r.Report.Withdrawn && t.engines[keyOf(r)] == nil {
		t.Forward(now, peer.RelayedState{EngineAddr: r.Report.EngineAddr, Withdrawn: true})
	}
}

// Forward issues a report that this entry forwards.
func (t *Table) Forward(now time.Time, r peer.RelayedState) {
	t.seq++
	rec := peer.EngineRecord{Forwarder: t.self.Addr, ForwarderIncarnation: t.self.Incarnation, Seq: t.seq, Report: r}
	t.engines[keyOf(rec)] = &engine{rec, now}
	t.changedEngines[keyOf(rec)] = ""
}

// Suspect records that this entry has lost contact with another one. It reports whether the other
// was live and not suspected yet.
func (t *Table) Suspect(now time.Time, addr string) bool {
	m := t.members[addr]
	if m == nil || m.record.Suspected || !m.live() {
		return false
	}
	m.record.Suspected, m.suspectedAt, m.changedAt = true, now, now
	t.changedMembers[addr] = ""
	return true
}

// Postpone gives all suspected entries more time to refute: for that long this process did not run,
// and so did not handle what they sent.
func (t *Table) Postpone(d time.Duration) {
	for _, m := range t.members {
		if m.record.Suspected {
			m.suspectedAt = m.suspectedAt.Add(d)
		}
	}
}

// Expire returns the entries that count as lost from now on, because they did not refute a
// suspicion, and forgets old records.
func (t *Table) Expire(now time.Time) (lost []string) {
	for addr, m := range t.members {
		switch {
		case m.record.Suspected && !m.lost && now.Sub(m.suspectedAt) >= ConfirmAfter:
			m.lost = true
			lost = append(lost, addr)
		case !m.live() && now.Sub(m.changedAt) >= forgetAfter:
			delete(t.members, addr)
			t.dropReports(addr, 0)
		}
	}
	for k, e := range t.engines {
		if e.record.Report.Withdrawn && now.Sub(e.changedAt) >= forgetAfter {
			delete(t.engines, k)
		}
	}
	return lost
}

// Member returns the record of an entry and whether it counts as live.
func (t *Table) Member(addr string) (r peer.MemberRecord, live bool) {
	if m := t.members[addr]; m != nil {
		return m.record, m.live()
	}
	return peer.MemberRecord{}, false
}

// Lost returns the addresses of the entries that count as lost.
func (t *Table) Lost() []string {
	var out []string
	for addr, m := range t.members {
		if m.lost {
			out = append(out, addr)
		}
	}
	return out
}

// ReportsOf returns the reports that an entry forwards.
func (t *Table) ReportsOf(forwarder string) []peer.EngineRecord {
	var out []peer.EngineRecord
	for k, e := range t.engines {
		if k.forwarder == forwarder && !e.record.Report.Withdrawn {
			out = append(out, e.record)
		}
	}
	return out
}

// Members returns the addresses of all entries of which a record is known.
func (t *Table) Members() []string {
	out := make([]string, 0, len(t.members))
	for addr := range t.members {
		out = append(out, addr)
	}
	return out
}
