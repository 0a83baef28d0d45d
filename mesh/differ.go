package mesh

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/mirror"
	"github.com/springgate/springgate/peer"
)

// differsAfter is for how long two copies of one revision must differ to count: four
// accounts, so that one that stands alone, whatever it comes from, makes no entry read
// the whole copy.
const differsAfter = 2 * time.Second

// difference is a peer's copy of the store that is not as the own one.
type difference struct {
	since time.Time
	said  bool
}

// differences are the copies that differ, by the peer's address. A copy is compared when
// both have the same revision; in between, what was found last holds. It is pure.
type differences map[string]difference

// compare takes that a peer's copy of the own revision is equal or not, and reports
// whether it now counts as differing, once.
func (d differences) compare(now time.Time, addr string, equal bool) bool {
	if equal {
		delete(d, addr)
		return false
	}
	x, known := d[addr]
	if !known {
		x.since = now
	}
	news := !x.said && now.Sub(x.since) >= differsAfter
	x.said = x.said || news
	d[addr] = x
	return news
}

// any reports whether a copy counts as differing.
func (d differences) any() bool {
	for _, x := range d {
		if x.said {
			return true
		}
	}
	return false
}

// compareCopies holds the digest of a peer's copy against the own.
func (m *Mesh) compareCopies(now time.Time, addr string, l *peer.Loads) {
	digest, revision := m.table.Digest()
	if l.Digest == 0 || digest == 0 || l.Revision != revision {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.differing.compare(now, addr, l.Digest == digest) {
		m.differed.Inc(1)
		m.log.WithFields(logrus.Fields{"peer": addr, "revision": revision}).Error("Copies of the store differ.")
	}
}

// repairEvery is the least time between two whole reads of the store because the own copy
// differs from another, and repairSpread the part of it by which they vary, so that
// entries that find it at once do not read at once.
const (
	repairEvery  = 4 * time.Second
	repairSpread = 0.5
)

// repair reads the whole copy from the store again while it differs from another entry's;
// which of the two lost a change is not known. It guards against what loses changes in a
// way that is not known: requests would go on reaching a target that left until its entry
// changes again, which it never does. Copies that still differ after that are found again.
// The lock is held.
func (m *Mesh) repair(ctx context.Context, now time.Time) {
	if m.store == nil || !m.differing.any() || now.Before(m.repairAt) {
		return
	}
	m.repairAt = now.Add(time.Duration((1 + repairSpread*rand.Float64()) * float64(repairEvery)))
	clear(m.differing)
	m.repairs.Inc(1)
	go func() {
		err := mirror.ReadAll(ctx, m.store, m.table)
		l := m.log.WithField("revision", m.table.Revision())
		if err != nil {
			l.WithError(err).Warn("Could not read the store again.")
			return
		}
		l.Info("Copy differed, read the store again.")
	}()
}
