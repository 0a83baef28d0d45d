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

// All processes replicate the records of requests that were running when targets crashed. A
// record identifies what was running by a fingerprint: of the content of a request, or of a part of its
// prompt.
// An entry sends its own observations to the others at once. Each process sends all of its
// records when a link opens, so that a process that starts or was cut off receives them
// with its first messages; agents keep them so that they survive a restart of all entries.
// Entries whose records still differ, because a message was lost with a broken link or
// because two entries are connected only through a third one, send each other all records.
const (
	// agentCrashThreshold is the minimum number of crashes for a content to be sent to agents.
	// Most contents that are running when a target crashes are not its cause and are never
	// seen again.
	agentCrashThreshold = 2
	// agentCrashInterval is the minimum time between two crash messages to an agent.
	agentCrashInterval = 200 * time.Millisecond
	// crashMismatchDelay is how long the digest of another entry's records must differ from
	// the own one before that entry is sent all records: two full load reports.
	crashMismatchDelay = time.Second
	// crashResendInterval is the minimum time between two full sets of records sent to an
	// entry.
	crashResendInterval = 2 * time.Second
	// inFlightUnknown is assumed for how long requests with a content had been in progress before a crash, if the
	// report does not tell, as those of earlier releases: the time of a long stream.
	inFlightUnknown = 4 * time.Second
)

// crashCursor tracks which crash records were sent on a stream. It is not safe for
// concurrent use.
type crashCursor struct {
	table    *quarantine.Table // nil if this process keeps no records
	position uint64
}

// snapshot returns all records, or nil if there are none.
func (c *crashCursor) snapshot() *peer.Crashes {
	if c.table == nil {
		return nil
	}
	n, position := c.table.Changes(0, 1)
	c.position = position
	return encodeCrashes(clock.Now(), n)
}

// observed returns what this process itself has observed since the last call, or nil.
func (c *crashCursor) observed() *peer.Crashes {
	n, position := c.table.LocalChanges(c.position)
	c.position = position
	return encodeCrashes(clock.Now(), n)
}

// all returns the changed records, whoever observed them, or nil.
func (c *crashCursor) all() *peer.Crashes {
	n, position := c.table.Changes(c.position, 1)
	c.position = position
	return encodeCrashes(clock.Now(), n)
}

// forAgent returns the changed records that agents keep, or nil.
func (c *crashCursor) forAgent() *peer.Crashes {
	n, position := c.table.Changes(c.position, agentCrashThreshold)
	c.position = position
	return encodeCrashes(clock.Now(), n)
}

// changed returns a channel that is closed at the next change, or nil if this process
// keeps no records.
func (c *crashCursor) changed() <-chan struct{} {
	if c.table == nil {
		return nil
	}
	return c.table.Changed()
}

func encodeCrashes(now time.Time, n quarantine.Update) *peer.Crashes {
	if n.Empty() {
		return nil
	}
	out := &peer.Crashes{}
	for _, c := range n.Crashes {
		out.Crashes = append(out.Crashes, peer.CrashReport{Content: c.Subject[:], Target: c.Incarnation.Target, StartMs: c.Incarnation.StartMs,
			AgeMs: now.Sub(c.At).Milliseconds(), Reporter: c.Reporter, Retracted: c.Retracted})
		out.Added.InFlightMs = append(out.Added.InFlightMs, c.InFlight.Milliseconds())
	}
	for _, s := range n.Survivals {
		out.Survivals = append(out.Survivals, peer.SurvivalReport{Content: s.Subject[:], AgeMs: now.Sub(s.At).Milliseconds()})
	}
	return out
}

// decodeCrashes drops records without a valid content fingerprint.
func decodeCrashes(now time.Time, msg *peer.Crashes) quarantine.Update {
	var n quarantine.Update
	for i, c := range msg.Crashes {
		inFlight := inFlightUnknown
		if i < len(msg.Added.InFlightMs) {
			inFlight = fromMilliseconds(msg.Added.InFlightMs[i])
		}
		if len(c.Content) != len(quarantine.Fingerprint{}) {
			continue
		}
		n.Crashes = append(n.Crashes, quarantine.Crash{Subject: quarantine.Fingerprint(c.Content),
			Incarnation: quarantine.Incarnation{Target: c.Target, StartMs: c.StartMs}, At: now.Add(-fromMilliseconds(c.AgeMs)), InFlight: inFlight, Reporter: c.Reporter, Retracted: c.Retracted})
	}
	for _, s := range msg.Survivals {
		if len(s.Content) == len(quarantine.Fingerprint{}) {
			n.Survivals = append(n.Survivals, quarantine.Survival{Subject: quarantine.Fingerprint(s.Content),
				At: now.Add(-fromMilliseconds(s.AgeMs))})
		}
	}
	return n
}

// mergeCrashes adds the records received from another process.
func (m *Mesh) mergeCrashes(msg *peer.Crashes) {
	if m.crashes != nil {
		m.crashes.Merge(clock.Now(), decodeCrashes(clock.Now(), msg))
	}
}

// sendCrashesToAgent sends the current records and later changes on a stream that an agent
// opened.
func (m *Mesh) sendCrashesToAgent(ctx context.Context, s *peer.Stream) {
	if m.crashes == nil {
		return
	}
	cursor := crashCursor{table: m.crashes}
	for {
		changed := cursor.changed()
		if msg := cursor.forAgent(); msg != nil && s.Send(ctx, msg) != nil {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
		if !loop.Sleep(ctx, agentCrashInterval) {
			return
		}
	}
}

// compareCrashDigest compares another entry's digest with the own one, and sends that entry
// all records if the digests have differed for crashMismatchDelay.
func (m *Mesh) compareCrashDigest(now time.Time, addr string, digest uint64) {
	if m.crashes == nil {
		return
	}
	own := m.crashes.Digest()
	m.mu.Lock()
	defer m.mu.Unlock()
	if digest == own || own == 0 {
		delete(m.crashMismatches, addr)
		return
	}
	since, known := m.crashMismatches[addr]
	switch {
	case !known:
		m.crashMismatches[addr] = now
	case now.Sub(since) >= crashMismatchDelay && m.links[addr] != nil:
		m.crashMismatches[addr] = now.Add(crashResendInterval - crashMismatchDelay)
		m.links[addr].requestCrashes()
	}
}

// Probes reports whether this entry is the one, of all live entries, that retries a content
// that the others block.
func (m *Mesh) Probes(content quarantine.Fingerprint) bool {
	addrs := append(addrsOf(m.Entries()), m.self.Addr)
	return membership.First(content.String(), addrs) == m.self.Addr
}
