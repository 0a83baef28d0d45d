package mesh

import (
	"testing"
	"time"

	"github.com/springgate/springgate/mirror"
	"github.com/springgate/springgate/peer"
	"gotest.tools/v3/assert"
)

var start = time.Unix(1_800_000_000, 0)

const expire = 1600 * time.Millisecond

func presence(addr string, incarnation uint64, revision mirror.Revision) peer.Presence {
	return peer.Presence{Addr: addr, Incarnation: incarnation, Revision: revision}
}

func addrs(list []peer.Presence) []string {
	var out []string
	for _, p := range list {
		out = append(out, p.Addr)
	}
	return out
}

func TestSeedsAreKnownButNotLive(t *testing.T) {
	m := NewMembers("a:1", []string{"a:1", "b:1"}, expire)
	assert.DeepEqual(t, m.Addrs(), []string{"b:1"})
	assert.Equal(t, len(m.Live(start)), 0)
}

// Guards against entries that are cut off from each other and each take the budget of all.
func TestEntriesThatAreCutOffKeepTheirBudgetShares(t *testing.T) {
	m := NewMembers("a:1", []string{"b:1"}, expire)
	m.Observe(start, presence("b:1", 1, 0))
	m.Observe(start, presence("c:1", 1, 0))
	for _, cut := range []time.Duration{0, expire + 1, time.Minute, 10 * time.Minute} {
		assert.Equal(t, m.BudgetShares(start.Add(cut)), 3, "after %v", cut)
	}
}

// Guards against an entry that starts while it is cut off and takes the budget of all.
func TestBudgetSharesAreUnknownBeforeAnotherEntryIsHeard(t *testing.T) {
	assert.Equal(t, NewMembers("a:1", []string{"a:1", "b:1"}, expire).BudgetShares(start), 0)
	assert.Equal(t, NewMembers("a:1", []string{"a:1"}, expire).BudgetShares(start), 1)
}

// Guards against entries that take over the share of one that leaves and still serves.
func TestLeavingEntryKeepsItsBudgetShareWhileItServes(t *testing.T) {
	m := NewMembers("a:1", []string{"b:1"}, expire)
	p := presence("b:1", 1, 0)
	m.Observe(start, p)
	p.Leaving = true
	m.Observe(start, p)
	assert.Equal(t, m.BudgetShares(start), 2)
	assert.Equal(t, m.BudgetShares(start.Add(sizeMemory)), 1)
}

func TestMemberExpires(t *testing.T) {
	m := NewMembers("a:1", nil, expire)
	assert.Assert(t, m.Observe(start, presence("b:1", 1, 0)))
	assert.Assert(t, !m.Observe(start, presence("b:1", 1, 0)), "the member is live already")
	assert.DeepEqual(t, addrs(m.Live(start.Add(expire))), []string{"b:1"})
	assert.Equal(t, len(m.Live(start.Add(expire+1))), 0)
	assert.DeepEqual(t, m.Addrs(), []string{"b:1"}) // the expired entry is still dialled
}

func TestEarlierIncarnationIsIgnored(t *testing.T) {
	m := NewMembers("a:1", nil, expire)
	m.Observe(start, presence("b:1", 2, 9))
	assert.Assert(t, !m.Observe(start, presence("b:1", 1, 50)))
	assert.Equal(t, m.Live(start)[0].Revision, mirror.Revision(9))
	assert.Assert(t, m.Observe(start, presence("b:1", 3, 0)), "a new incarnation counts as new")
}

func TestLeavingMemberIsNotLive(t *testing.T) {
	m := NewMembers("a:1", nil, expire)
	p := presence("b:1", 1, 0)
	m.Observe(start, p)
	p.Leaving = true
	m.Observe(start, p)
	assert.Equal(t, len(m.Live(start)), 0)
}

func TestUnreachableMemberIsNotLiveUntilObserved(t *testing.T) {
	m := NewMembers("a:1", nil, expire)
	m.Observe(start, presence("b:1", 1, 0))
	m.MarkUnreachable("b:1")
	assert.Equal(t, len(m.Live(start)), 0)
	assert.Assert(t, m.Observe(start, presence("b:1", 1, 0)))
}

func TestMostAdvancedReturnsTheHighestLiveRevision(t *testing.T) {
	m := NewMembers("a:1", nil, expire)
	m.Observe(start, presence("b:1", 1, 5))
	m.Observe(start, presence("c:1", 1, 8))
	m.Observe(start.Add(-time.Hour), presence("d:1", 1, 99))
	addr, ok := m.MostAdvanced(start, 4, "")
	assert.Assert(t, ok)
	assert.Equal(t, addr, "c:1")
	_, ok = m.MostAdvanced(start, 8, "")
	assert.Assert(t, !ok)
}

// A process that starts after its host's clock was set back has a lower incarnation than the
// one before it.
func TestLowerIncarnationIsAcceptedWhenTheHigherIsNotLive(t *testing.T) {
	m := NewMembers("a:1", nil, expire)
	m.Observe(start, presence("b:1", 5, 9))
	assert.Assert(t, !m.Observe(start.Add(expire), presence("b:1", 3, 1)), "the higher incarnation is still live")
	assert.Assert(t, m.Observe(start.Add(expire+1), presence("b:1", 3, 1)))
	assert.Equal(t, m.Live(start.Add(expire + 1))[0].Incarnation, uint64(3))
	m.MarkUnreachable("b:1")
	assert.Assert(t, m.Observe(start.Add(expire+2), presence("b:1", 2, 1)), "the higher incarnation is unreachable")

	// An agent records a linked entry with a time in the future (see Mesh.entryLinked).
	m.Observe(start.Add(linkValidity), presence("c:1", 5, 9))
	m.MarkUnreachable("c:1")
	assert.Assert(t, m.Observe(start.Add(linkValidity+time.Second), presence("c:1", 3, 1)))
}

// presenceSeenAt returns a presence of an entry that saw the store at the moment of sending, when
// the entry's own uptime clock showed clock.
func presenceSeenAt(clock time.Duration) peer.Presence {
	p := presence("b:1", 1, 7)
	p.Store = peer.StoreStatus{Known: true, UptimeMs: clock.Milliseconds()}
	return p
}

// The time at which a peer saw the store must be derived from the peer's clock, and so must not
// depend on how long the report was in transit.
func TestTransitTimeDoesNotMoveConfirmation(t *testing.T) {
	m := NewMembers("a:1", nil, expire)
	m.Observe(start, presenceSeenAt(time.Hour))
	for _, transit := range []time.Duration{time.Millisecond, 450 * time.Millisecond, 3 * time.Second, time.Minute} {
		m.Observe(start.Add(10*time.Second+transit), presenceSeenAt(time.Hour+10*time.Second))
		assert.Equal(t, m.ConfirmedAt(7), start.Add(10*time.Second), "transit time %v", transit)
	}
	// The clock of the next incarnation starts again at zero.
	p := presenceSeenAt(time.Second)
	p.Incarnation = 2
	m.Observe(start.Add(2*time.Minute), p)
	assert.Equal(t, m.ConfirmedAt(7), start.Add(2*time.Minute))
}

// Clock drift between peers, and a clock that stopped while its host was suspended, must be
// compensated.
func TestPeerClockDriftIsCompensated(t *testing.T) {
	const drift = 500e-6
	for _, sign := range []float64{-1, 1} {
		m := NewMembers("a:1", nil, expire)
		for at := time.Duration(0); at < 24*time.Hour; at += time.Second {
			m.Observe(start.Add(at), presenceSeenAt(time.Duration(float64(at)*(1+sign*drift))))
			offset := start.Add(at).Sub(m.ConfirmedAt(7))
			assert.Assert(t, offset >= 0 && offset <= 35*time.Millisecond, "error of %v after %v", offset, at)
		}
	}
	m := NewMembers("a:1", nil, expire)
	m.Observe(start, presenceSeenAt(0))
	stopped := 5 * time.Second
	for at := stopped; at < stopped+2*clockWindow+time.Second; at += time.Second {
		m.Observe(start.Add(at), presenceSeenAt(at-stopped))
	}
	assert.Assert(t, start.Add(stopped+2*clockWindow).Sub(m.ConfirmedAt(7)) <= 0)
}

// Heartbeats of live members change nothing that links, roles and lists of members depend on, so
// that a fleet at rest computes nothing anew.
func TestHeartbeatsDoNotChangeTheMembers(t *testing.T) {
	m := NewMembers("a:1", []string{"b:1"}, expire)
	now := start
	m.Observe(now, presence("b:1", 1, 0))
	version, live := m.Version(now), m.Live(now)
	for i := range 100 {
		now = now.Add(expire / 2)
		m.Observe(now, presenceSeenAt(time.Duration(i)*expire/2))
		assert.Equal(t, m.Version(now), version)
	}
	assert.Equal(t, len(live), 1)
	failing := presence("b:1", 1, 0)
	failing.Store.Failing = true
	m.Observe(now, failing)
	assert.Assert(t, m.Version(now) > version)
	version = m.Version(now)
	now = now.Add(expire + 1)
	assert.Assert(t, m.Version(now) > version, "the member expires")
	assert.Equal(t, len(m.Live(now)), 0)
}

// What is told again of an entry, such as a suspicion and its refutation, changes nothing and so
// lets nothing be computed anew.
func TestVouchingAgainChangesNothing(t *testing.T) {
	m := NewMembers("self", nil, time.Second)
	p := peer.Presence{Addr: "e", Host: "h", Domain: "d", Incarnation: 1, LinkMbps: 40}
	m.Vouch(start, p, true)
	version := m.Version(start)
	m.Vouch(start, p, true)
	assert.Equal(t, m.Version(start), version)
	for _, news := range []func(){
		func() { m.Vouch(start, p, false) },
		func() { m.Vouch(start, p, true) },
		func() { p.Leaving = true; m.Vouch(start, p, true) },
		func() { p.Incarnation++; m.Vouch(start, p, true) },
	} {
		before := m.Version(start)
		news()
		assert.Assert(t, m.Version(start) > before)
	}
}
