package mesh

import (
	"context"
	"time"

	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/loop"
	"github.com/springgate/springgate/membership"
	"github.com/springgate/springgate/peer"
	"github.com/springgate/springgate/quarantine"
)

// What is known of requests under which targets end is held by all processes. An entry
// tells the others at once what it has seen itself. Each process tells all that it knows
// when a link opens, so that one that starts, or was cut off, learns it with its first
// messages; agents keep it for the time when all entries are started again. Entries whose
// copies differ all the same, because a message went to a link that broke or a third one
// reaches both, send each other all of it.
const (
	// agentCrashes is how many crashes a content needs for agents to be told of it: most
	// contents at work as a target ends are bystanders that never come again.
	agentCrashes = 2
	// agentPause is the least time between two messages about that to an agent.
	agentPause = 200 * time.Millisecond
	// crashesDifferFor is how long an entry's digest must differ: two full accounts.
	crashesDifferFor = time.Second
	// crashesEvery is the least time between two copies of all for one entry.
	crashesEvery = 2 * time.Second
)

// toldCrashes is how far one stream was told of crashes. It is used by one goroutine.
type toldCrashes struct {
	table *quarantine.Table // nil if this process holds none
	place uint64
}

// all returns everything that is known, or nil.
func (t *toldCrashes) all() *peer.Crashes {
	if t.table == nil {
		return nil
	}
	n, place := t.table.Changes(0, 1)
	t.place = place
	return encodeCrashes(clock.Now(), n)
}

// seen returns what this process has seen since, or nil.
func (t *toldCrashes) seen() *peer.Crashes {
	n, place := t.table.LocalChanges(t.place)
	t.place = place
	return encodeCrashes(clock.Now(), n)
}

// forAgent returns what has changed, as far as an agent keeps it, or nil.
func (t *toldCrashes) forAgent() *peer.Crashes {
	n, place := t.table.Changes(t.place, agentCrashes)
	t.place = place
	return encodeCrashes(clock.Now(), n)
}

// news returns a channel that is closed at the next news; nil if there is never any.
func (t *toldCrashes) news() <-chan struct{} {
	if t.table == nil {
		return nil
	}
	return t.table.Changed()
}

func encodeCrashes(now time.Time, n quarantine.Update) *peer.Crashes {
	if n.Empty() {
		return nil
	}
	out := &peer.Crashes{}
	for _, c := range n.Crashes {
		out.Crashes = append(out.Crashes, peer.CrashReport{Content: c.Content[:], Target: c.Incarnation.Target, StartMs: c.Incarnation.StartMs,
			AgeMs: now.Sub(c.At).Milliseconds(), Reporter: c.Reporter, Retracted: c.Retracted})
	}
	for _, s := range n.Survivals {
		out.Survivals = append(out.Survivals, peer.SurvivalReport{Content: s.Content[:], AgeMs: now.Sub(s.At).Milliseconds()})
	}
	return out
}

// decodeCrashes drops what names no content.
func decodeCrashes(now time.Time, msg *peer.Crashes) quarantine.Update {
	var n quarantine.Update
	for _, c := range msg.Crashes {
		if len(c.Content) != len(quarantine.Fingerprint{}) {
			continue
		}
		n.Crashes = append(n.Crashes, quarantine.Crash{Content: quarantine.Fingerprint(c.Content),
			Incarnation: quarantine.Incarnation{Target: c.Target, StartMs: c.StartMs}, At: now.Add(-fromMilliseconds(c.AgeMs)), Reporter: c.Reporter, Retracted: c.Retracted})
	}
	for _, s := range msg.Survivals {
		if len(s.Content) == len(quarantine.Fingerprint{}) {
			n.Survivals = append(n.Survivals, quarantine.Survival{Content: quarantine.Fingerprint(s.Content),
				At: now.Add(-fromMilliseconds(s.AgeMs))})
		}
	}
	return n
}

// learnCrashes takes what another process tells.
func (m *Mesh) learnCrashes(msg *peer.Crashes) {
	if m.crashes != nil {
		m.crashes.Merge(clock.Now(), decodeCrashes(clock.Now(), msg))
	}
}

// tellCrashes tells an agent that opened a stream what is known, and what changes.
func (m *Mesh) tellCrashes(ctx context.Context, s *peer.Stream) {
	if m.crashes == nil {
		return
	}
	told := toldCrashes{table: m.crashes}
	for {
		changed := told.news()
		if msg := told.forAgent(); msg != nil && s.Send(ctx, msg) != nil {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
		if !loop.Sleep(ctx, agentPause) {
			return
		}
	}
}

// compareCrashes holds another entry's digest against the own, and sends it all that is
// known if they have differed for a while.
func (m *Mesh) compareCrashes(now time.Time, addr string, digest uint64) {
	if m.crashes == nil {
		return
	}
	own := m.crashes.Digest()
	m.mu.Lock()
	defer m.mu.Unlock()
	if digest == own || own == 0 {
		delete(m.crashesDiffer, addr)
		return
	}
	since, known := m.crashesDiffer[addr]
	switch {
	case !known:
		m.crashesDiffer[addr] = now
	case now.Sub(since) >= crashesDifferFor && m.links[addr] != nil:
		m.crashesDiffer[addr] = now.Add(crashesEvery - crashesDifferFor)
		m.links[addr].tellAll()
	}
}

// Probes reports whether this entry is the one that tries a content again which is sent
// no more.
func (m *Mesh) Probes(content quarantine.Fingerprint) bool {
	addrs := append(addrsOf(m.Entries()), m.self.Addr)
	return membership.First(content.String(), addrs) == m.self.Addr
}
