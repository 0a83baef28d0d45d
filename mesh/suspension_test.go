package mesh

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/springgate/springgate/clock/clocktest"
	"github.com/springgate/springgate/peer"
	"gotest.tools/v3/assert"
)

// Ages, and the clock that an entry sends to others, must include the time for which its host
// was suspended. Guards against an entry that reported an old read of the store as recent,
// considered entries live that had sent nothing during the suspension, and whose clock
// permanently lagged by the length of the suspension.
//
// The store stops answering before the suspension. Otherwise an entry might call it as soon as
// the host resumes, and its copy would then be as recent as reported.
func TestSuspension(t *testing.T) {
	for _, d := range []time.Duration{3 * time.Second, 10 * time.Second, 60 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			machine := clocktest.New(t)
			all := startEntries(t, 2)
			time.Sleep(time.Second)
			for _, e := range all.all {
				e.view.set(silent)
			}
			synctest.Wait() // until all messages in flight are handled
			m := all.all[0].mesh
			before := m.ownPresence().Store
			assert.Check(t, before.Known && before.AgeMs <= 1000, "age %d ms", before.AgeMs)
			machine.Suspend(d)
			after := m.ownPresence().Store
			assert.Check(t, after.AgeMs >= before.AgeMs+d.Milliseconds(), "age %d ms", after.AgeMs)
			assert.Check(t, after.UptimeMs >= before.UptimeMs+d.Milliseconds(), "clock %d ms", after.UptimeMs)
			time.Sleep(time.Second)
			all.all[1].inject(frozen)
			machine.Suspend(d)
			time.Sleep(2 * m.cfg.Interval)
			assert.Check(t, len(m.Entries()) == 0, "an entry that was silent for %v is still live", d)
			all.stop()
		})
	}
}

// ownPresence returns what the mesh sends about itself.
func (m *Mesh) ownPresence() peer.Presence {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.presence()
}
