package mesh

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/mirror"
)

// catchUpIfBehind starts reading the changes that the own copy of the store lacks from
// the peer whose copy is most advanced, once the own copy has been behind for catchUpDelay.
func (m *Mesh) catchUpIfBehind(ctx context.Context, now time.Time) {
	addr, behind := m.members.MostAdvanced(now, m.table.Revision(), m.self.Domain)
	if !behind || m.racesFirstCopy() {
		m.behindSince = time.Time{}
		return
	}
	if m.behindSince.IsZero() {
		m.behindSince = now
	}
	if now.Sub(m.behindSince) < m.catchUpDelay(now) || m.catchingUp {
		return
	}
	m.catchingUp = true
	go m.catchUp(ctx, addr)
}

// catchUpDelay returns how long the own copy may be behind a peer's before the missing
// changes are read from that peer. There is no delay if the copy has been unconfirmed for
// longer than a watch takes, because no watch result is to be expected then. An entry that has
// no copy yet waits nevertheless, because its follower reads the whole copy from its source.
func (m *Mesh) catchUpDelay(now time.Time) time.Duration {
	if at := m.table.ConfirmedAt(); !at.IsZero() && now.Sub(at) > m.cfg.StaleAfter {
		return 0
	}
	return m.cfg.CatchUpAfter
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
