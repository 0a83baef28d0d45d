package mesh

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/peer"
)

// differsAfter is for how long two copies of one revision must differ to count. One that
// was read in several pages may hold changes beyond its revision, until the watch that
// begins there has brought them, within 0.2 s.
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

// count returns how many copies count as differing.
func (d differences) count() int64 {
	n := int64(0)
	for _, x := range d {
		if x.said {
			n++
		}
	}
	return n
}

// compareCopies holds the digest of a peer's copy against the own.
func (m *Mesh) compareCopies(now time.Time, addr string, l *peer.Loads) {
	digest, revision := m.table.Digest()
	if l.Digest == 0 || l.Revision != revision {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.differing.compare(now, addr, l.Digest == digest) {
		m.log.WithFields(logrus.Fields{"peer": addr, "revision": revision}).Error("Copies of the store differ.")
	}
}

func (m *Mesh) copiesDiffer() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.differing.count()
}
