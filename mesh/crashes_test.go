package mesh

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/peer"
	"github.com/springgate/springgate/quarantine"
	"gotest.tools/v3/assert"
)

// knownWithin bounds how long an entry in touch may not know of a content that is sent no
// more. It is what the users allow.
const knownWithin = 3 * time.Second

// bad is a content under which three targets have ended.
var bad = quarantine.Fingerprint{1, 2, 3}

// sawThree makes an entry see that.
func (e *entry) sawThree() {
	for i := range 3 {
		e.crashes.RecordCrashes(time.Now(), quarantine.Crash{Content: bad, Incarnation: quarantine.Incarnation{Target: fmt.Sprint("i-", i), StartMs: 5}, At: time.Now(), Reporter: e.addr})
	}
}

func refuses(t *quarantine.Table) bool {
	v, _ := t.Judge(time.Now(), bad, func() bool { return false })
	return v == quarantine.Refuse
}

// inFleet runs f with entries that have found each other.
func inFleet(t *testing.T, n int, f func(t *testing.T, all *entries)) {
	synctest.Test(t, func(t *testing.T) {
		all := startEntries(t, n)
		defer all.stop()
		time.Sleep(time.Second)
		f(t, all)
	})
}

func TestAllEntriesHearOfCrashesAtOnce(t *testing.T) {
	inFleet(t, 6, func(t *testing.T, all *entries) {
		all.all[3].sawThree()
		time.Sleep(time.Millisecond)
		for _, e := range all.all {
			assert.Assert(t, refuses(e.crashes), e.addr)
		}
	})
}

func TestEntryThatStartsLearnsOfCrashes(t *testing.T) {
	inFleet(t, 4, func(t *testing.T, all *entries) {
		all.all[1].sawThree()
		time.Sleep(time.Second)
		all.all[0].restart()
		time.Sleep(knownWithin)
		assert.Assert(t, refuses(all.all[0].crashes))
	})
}

// An entry has no way to the one that saw it, nor that one to it; a third has to both.
func TestCrashesReachAnEntryThroughAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := startEntries(t, 5)
		defer all.stop()
		time.Sleep(time.Second)
		far := all.all[4]
		far.kill()
		far.apart = map[string]bool{all.all[1].addr: true, all.all[2].addr: true}
		far.mu.Lock()
		far.down, far.conns = false, nil
		far.mu.Unlock()
		far.start()
		time.Sleep(time.Second)
		all.all[1].sawThree()
		time.Sleep(knownWithin)
		assert.Assert(t, refuses(far.crashes))
	})
}

// startAgent runs an agent beside an engine until the returned func is called.
func startAgent(all *entries) (crashes *quarantine.Table, stop func()) {
	a := &entry{fleet: all, addr: "agent", frozen: make(chan struct{})}
	log := logrus.New()
	log.SetOutput(io.Discard)
	a.pool = peer.NewPoolWithDialer(a.dial, peer.Hello{Host: "agent"}, nil, &peer.Meter{})
	crashes = quarantine.NewTable()
	m := New(Options{Self: peer.Presence{Host: "agent", Domain: "a", EngineAddr: "10.2.0.1:8000", Incarnation: 1},
		Seeds: []string{all.all[0].addr}, Pool: a.pool, Log: log, Crashes: crashes,
		Assigned: func(peer.Assignment) {}})
	ctx, cancel := context.WithCancel(context.Background())
	go m.Run(ctx, nil)
	return crashes, func() {
		cancel()
		a.pool.Close()
	}
}

// All entries are started again in one second; what they knew is with the agents.
func TestAgentsKeepCrashesWhileAllEntriesStartAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := startEntries(t, 4)
		defer all.stop()
		kept, stop := startAgent(all)
		defer stop()
		time.Sleep(time.Second)
		all.all[2].sawThree()
		time.Sleep(time.Second)
		assert.Assert(t, refuses(kept))
		for _, e := range all.all {
			e.kill()
		}
		for _, e := range all.all {
			e.mu.Lock()
			e.down, e.conns = false, nil
			e.mu.Unlock()
			e.start()
		}
		time.Sleep(knownWithin)
		for _, e := range all.all {
			assert.Assert(t, refuses(e.crashes), e.addr)
		}
	})
}

// Nothing is sent while nothing is known.
func TestNoMessageWithoutCrashes(t *testing.T) {
	told := toldCrashes{table: quarantine.NewTable()}
	assert.Assert(t, told.all() == nil && told.seen() == nil && told.forAgent() == nil)
}

// What another process sends may name no content.
func TestCrashesThatNameNothing(t *testing.T) {
	n := decodeCrashes(time.Now(), &peer.Crashes{Crashes: []peer.CrashReport{{}, {Content: make([]byte, 99)}}, Survivals: []peer.SurvivalReport{{}}})
	assert.Assert(t, n.Empty())
}
