package mesh

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/springgate/springgate/clock/clocktest"
	"github.com/springgate/springgate/peer"
	"gotest.tools/v3/assert"
)

// A machine that was suspended told others that it had seen the store a moment ago, took
// entries for live that had been silent for long, and its clock, by which others date what
// it saw, lagged by the suspension for good.
//
// The store falls silent before the suspension: an entry may call it in the very moment in
// which the machine wakes, and its copy is then as young as it says.
func TestSuspension(t *testing.T) {
	for _, d := range []time.Duration{3 * time.Second, 10 * time.Second, 60 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			machine := clocktest.New(t)
			all := startEntries(t, 2)
			time.Sleep(time.Second)
			for _, e := range all.all {
				e.view.set(silent)
			}
			synctest.Wait() // all have taken what is on its way
			m := all.all[0].mesh
			before := m.ownPresence().Store
			assert.Check(t, before.Known && before.AgeMs <= 1000, "age %d ms", before.AgeMs)
			machine.Suspend(d)
			after := m.ownPresence().Store
			assert.Check(t, after.AgeMs >= before.AgeMs+d.Milliseconds(), "age %d ms", after.AgeMs)
			assert.Check(t, after.UptimeMs >= before.UptimeMs+d.Milliseconds(), "clock %d ms", after.UptimeMs)
			time.Sleep(time.Second)
			all.all[1].suffer(frozen)
			machine.Suspend(d)
			time.Sleep(2 * m.cfg.Interval)
			assert.Check(t, len(m.Entries()) == 0, "silent for %v, but live", d)
			all.stop()
		})
	}
}

// ownPresence returns what the mesh says of itself.
func (m *Mesh) ownPresence() peer.Presence {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.presence()
}
