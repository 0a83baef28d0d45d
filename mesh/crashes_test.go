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

// propagationLimit is the time within which, by the requirements, each connected entry must
// know that a content is blocked.
const propagationLimit = 3 * time.Second

// crashingContent is a content that was running when three targets crashed.
var crashingContent = quarantine.Fingerprint{1, 2, 3}

// recordThreeCrashes makes the entry observe three crashes with crashingContent, one after the other, which
// rules out chance.
func (e *entry) recordThreeCrashes() {
	for i := range 3 {
		at := time.Now().Add(time.Duration(i-2) * time.Second)
		e.crashes.RecordCrashes(time.Now(), quarantine.Crash{Subject: crashingContent, Incarnation: quarantine.Incarnation{Target: fmt.Sprint("i-", i), StartMs: 5},
			At: at, InFlight: 50 * time.Millisecond, Reporter: e.addr})
	}
}

func refuses(t *quarantine.Table) bool {
	v, _ := t.Judge(time.Now(), []quarantine.Fingerprint{crashingContent}, func(quarantine.Fingerprint) bool { return false })
	return v == quarantine.Refuse
}

// withEntries runs f with n entries that have discovered each other.
func withEntries(t *testing.T, n int, f func(t *testing.T, all *entries)) {
	synctest.Test(t, func(t *testing.T) {
		all := startEntries(t, n)
		defer all.stop()
		time.Sleep(time.Second)
		f(t, all)
	})
}

func TestCrashesReachAllEntriesAtOnce(t *testing.T) {
	withEntries(t, 6, func(t *testing.T, all *entries) {
		all.all[3].recordThreeCrashes()
		time.Sleep(time.Millisecond)
		for _, e := range all.all {
			assert.Assert(t, refuses(e.crashes), e.addr)
		}
	})
}

func TestRestartedEntryReceivesCrashes(t *testing.T) {
	withEntries(t, 4, func(t *testing.T, all *entries) {
		all.all[1].recordThreeCrashes()
		time.Sleep(time.Second)
		all.all[0].restart()
		time.Sleep(propagationLimit)
		assert.Assert(t, refuses(all.all[0].crashes))
	})
}

// The entry that observed the crashes and another one cannot reach each other, but a third entry
// reaches both and must pass the records on.
func TestCrashesReachEntryThroughAThirdOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := startEntries(t, 5)
		defer all.stop()
		time.Sleep(time.Second)
		far := all.all[4]
		far.kill()
		far.unreachable = map[string]bool{all.all[1].addr: true, all.all[2].addr: true}
		far.mu.Lock()
		far.down, far.conns = false, nil
		far.mu.Unlock()
		far.start()
		time.Sleep(time.Second)
		all.all[1].recordThreeCrashes()
		time.Sleep(propagationLimit)
		assert.Assert(t, refuses(far.crashes))
	})
}

// startAgent runs an agent beside an engine until stop is called.
func startAgent(all *entries) (crashes *quarantine.Table, stop func()) {
	a := &entry{fleet: all, addr: "agent", frozen: make(chan struct{})}
	log := logrus.New()
	log.SetOutput(io.Discard)
	a.pool = peer.NewPoolWithDialer(a.dial, peer.Hello{Host: "agent"}, nil, &peer.Meter{})
	crashes = quarantine.NewTable()
	m := New(Options{Self: peer.Presence{Host: "agent", Domain: "a", EngineAddr: "10.2.0.1:8000", Incarnation: 1},
		Seeds: []string{all.all[0].addr}, Pool: a.pool, Log: log, Crashes: crashes,
		OnAssignment: func(peer.Assignment) {}})
	ctx, cancel := context.WithCancel(context.Background())
	go m.Run(ctx, nil)
	return crashes, func() {
		cancel()
		a.pool.Close()
	}
}

// All entries are restarted within a second; they must get the crash records back from the
// agents.
func TestAgentsKeepCrashesWhileAllEntriesRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := startEntries(t, 4)
		defer all.stop()
		kept, stop := startAgent(all)
		defer stop()
		time.Sleep(time.Second)
		all.all[2].recordThreeCrashes()
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
		time.Sleep(propagationLimit)
		for _, e := range all.all {
			assert.Assert(t, refuses(e.crashes), e.addr)
		}
	})
}

// No message about crashes is sent while there are no crash records.
func TestNoMessageWithoutCrashes(t *testing.T) {
	cursor := crashCursor{table: quarantine.NewTable()}
	assert.Assert(t, cursor.snapshot() == nil && cursor.observed() == nil && cursor.forAgent() == nil)
}

// Records without a valid content fingerprint are dropped.
func TestCrashesWithoutValidContentAreDropped(t *testing.T) {
	n := decodeCrashes(time.Now(), &peer.Crashes{Crashes: []peer.CrashReport{{}, {Content: make([]byte, 99)}}, Survivals: []peer.SurvivalReport{{}}})
	assert.Assert(t, n.Empty())
}

// Guards against entries that take a crash for a surer sign than the one that saw it, and against reports of
// earlier releases, which do not tell how long the request had been running, being taken for the surest.
func TestTimeBeforeACrashIsReported(t *testing.T) {
	now := time.Now()
	sent := quarantine.Crash{Subject: crashingContent, Incarnation: quarantine.Incarnation{Target: "i-0", StartMs: 5}, At: now, InFlight: 700 * time.Millisecond, Reporter: "a"}
	msg := encodeCrashes(now, quarantine.Update{Crashes: []quarantine.Crash{sent}})
	assert.Equal(t, decodeCrashes(now, msg).Crashes[0].InFlight, sent.InFlight)
	msg.Added = peer.CrashesAdded{}
	assert.Equal(t, decodeCrashes(now, msg).Crashes[0].InFlight, inFlightUnknown)
}
