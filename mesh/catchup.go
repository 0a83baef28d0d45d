package mesh

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/mirror"
)

// compare reads from a peer what its copy of the store has and the own has not.
func (m *Mesh) compare(ctx context.Context, now time.Time) {
	addr, ahead := m.members.Ahead(now, m.table.Revision(), m.self.Domain)
	if !ahead {
		m.behindSince = time.Time{}
		return
	}
	if m.behindSince.IsZero() {
		m.behindSince = now
	}
	if now.Sub(m.behindSince) < m.patienceBehind(now) || m.catchingUp {
		return
	}
	m.catchingUp = true
	go m.catchUp(ctx, addr)
}

// patienceBehind is how long the own copy may be behind. No watch is to be waited
// for when nobody has confirmed the copy for longer than one takes; an entry
// without a copy reads it from its source.
func (m *Mesh) patienceBehind(now time.Time) time.Duration {
	if at := m.table.ConfirmedAt(); !at.IsZero() && now.Sub(at) > m.cfg.UnconfirmedAfter {
		return 0
	}
	return m.cfg.BehindAfter
}

func (m *Mesh) catchUp(ctx context.Context, addr string) {
	before := m.table.Revision()
	err := mirror.CatchUp(ctx, &peerSource{mesh: m, addr: addr}, m.table)
	m.mu.Lock()
	m.catchingUp, m.behindSince = false, time.Time{}
	m.mu.Unlock()
	fields := logrus.Fields{"peer": addr, "from_revision": before, "to_revision": m.table.Revision()}
	if err != nil {
		m.log.WithFields(fields).WithError(err).Info("Could not catch up from a peer.")
		return
	}
	m.log.WithFields(fields).Info("Caught up from a peer.")
}
