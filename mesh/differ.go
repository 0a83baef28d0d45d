package mesh

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/mirror"
	"github.com/springgate/springgate/peer"
)

// mismatchConfirmDelay is how long two copies of the same revision must differ to be
// reported: four full load reports, which carry the digests of the copies, so that a single
// wrong digest, whatever its cause, does not make an entry read all of the store.
const mismatchConfirmDelay = 2 * time.Second

// difference describes a peer's copy of the store that is not equal to the own one.
type difference struct {
	since    time.Time
	reported bool
}

// differences holds the copies that differ, by the address of the peer. Copies are compared
// when both have the same revision; the result stays in effect until the next comparison. It
// performs no I/O and reads no clock.
type differences map[string]difference

// compare records whether a peer's copy is equal to the own copy of the same revision. It
// returns true once, when the difference has lasted for mismatchConfirmDelay.
func (d differences) compare(now time.Time, addr string, equal bool) bool {
	if equal {
		delete(d, addr)
		return false
	}
	diff, known := d[addr]
	if !known {
		diff.since = now
	}
	confirmed := !diff.reported && now.Sub(diff.since) >= mismatchConfirmDelay
	diff.reported = diff.reported || confirmed
	d[addr] = diff
	return confirmed
}

// any reports whether a copy has differed for mismatchConfirmDelay.
func (d differences) any() bool {
	for _, diff := range d {
		if diff.reported {
			return true
		}
	}
	return false
}

// compareCopies compares the digest of a peer's copy with that of the own one.
func (m *Mesh) compareCopies(now time.Time, addr string, l *peer.Loads) {
	digest, revision := m.table.Digest()
	if l.Digest == 0 || digest == 0 || l.Revision != revision {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.copyDifferences.compare(now, addr, l.Digest == digest) {
		m.copiesDiffered.Inc(1)
		m.log.WithFields(logrus.Fields{"peer": addr, "revision": revision}).Error("Copies of the store differ.")
	}
}

// repairInterval is the minimum time between two full reads of the store because the own copy
// differs from another one. Up to repairJitter times repairInterval is added at random, so that
// entries that detect a difference together do not read together.
const (
	repairInterval = 4 * time.Second
	repairJitter   = 0.5
)

// repair reads the full copy from the store again if it differs from another entry's: it is
// not known which of the two missed a change. This guards against changes lost for unknown
// reasons: without the repair, a target that has left would get requests until its key in the
// store changes again, which never happens. Copies that still differ afterwards are detected again.
// The lock must be held.
func (m *Mesh) repair(ctx context.Context, now time.Time) {
	if m.store == nil || !m.copyDifferences.any() || now.Before(m.nextRepairAt) {
		return
	}
	m.nextRepairAt = now.Add(time.Duration((1 + repairJitter*rand.Float64()) * float64(repairInterval)))
	clear(m.copyDifferences)
	m.repairs.Inc(1)
	go func() {
		err := mirror.ReadAll(ctx, m.store, m.table)
		l := m.log.WithField("revision", m.table.Revision())
		if err != nil {
			l.WithError(err).Warn("Full read of the store after a difference between copies failed.")
			return
		}
		l.Info("Read the full store again because the own copy differed from a peer's.")
	}()
}
