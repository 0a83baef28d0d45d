package mesh

import (
	"testing"
	"time"

	"github.com/springgate/springgate/peer"
	"gotest.tools/v3/assert"
)

var start = time.Unix(1_800_000_000, 0)

const expire = 1600 * time.Millisecond

func presence(addr string, incarnation uint64, revision int64) peer.Presence {
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

func TestMemberExpires(t *testing.T) {
	m := NewMembers("a:1", nil, expire)
	assert.Assert(t, m.Heard(start, presence("b:1", 1, 0)))
	assert.Assert(t, !m.Heard(start, presence("b:1", 1, 0)), "known already")
	assert.DeepEqual(t, addrs(m.Live(start.Add(expire))), []string{"b:1"})
	assert.Equal(t, len(m.Live(start.Add(expire+1))), 0)
	assert.DeepEqual(t, m.Addrs(), []string{"b:1"}) // it is still called
}

func TestWordsOfAnEarlierIncarnationAreIgnored(t *testing.T) {
	m := NewMembers("a:1", nil, expire)
	m.Heard(start, presence("b:1", 2, 9))
	assert.Assert(t, !m.Heard(start, presence("b:1", 1, 50)))
	assert.Equal(t, m.Live(start)[0].Revision, int64(9))
	assert.Assert(t, m.Heard(start, presence("b:1", 3, 0)), "a restart is news")
}

func TestLeavingMemberIsNotLive(t *testing.T) {
	m := NewMembers("a:1", nil, expire)
	p := presence("b:1", 1, 0)
	m.Heard(start, p)
	p.Leaving = true
	m.Heard(start, p)
	assert.Equal(t, len(m.Live(start)), 0)
}

func TestLostMemberIsNotLiveUntilHeard(t *testing.T) {
	m := NewMembers("a:1", nil, expire)
	m.Heard(start, presence("b:1", 1, 0))
	m.Lost("b:1")
	assert.Equal(t, len(m.Live(start)), 0)
	assert.Assert(t, m.Heard(start, presence("b:1", 1, 0)))
}

func TestAheadIsTheFurthestLiveCopy(t *testing.T) {
	m := NewMembers("a:1", nil, expire)
	m.Heard(start, presence("b:1", 1, 5))
	m.Heard(start, presence("c:1", 1, 8))
	m.Heard(start.Add(-time.Hour), presence("d:1", 1, 99))
	addr, ok := m.Ahead(start, 4, "")
	assert.Assert(t, ok)
	assert.Equal(t, addr, "c:1")
	_, ok = m.Ahead(start, 8, "")
	assert.Assert(t, !ok)
}

// A process that starts after its host's clock was set back has a lower
// incarnation than the one before it.
func TestLowerIncarnationIsHeardWhenTheHigherIsGone(t *testing.T) {
	m := NewMembers("a:1", nil, expire)
	m.Heard(start, presence("b:1", 5, 9))
	assert.Assert(t, !m.Heard(start.Add(expire), presence("b:1", 3, 1)), "the other one is live")
	assert.Assert(t, m.Heard(start.Add(expire+1), presence("b:1", 3, 1)))
	assert.Equal(t, m.Live(start.Add(expire + 1))[0].Incarnation, uint64(3))
	m.Lost("b:1")
	assert.Assert(t, m.Heard(start.Add(expire+2), presence("b:1", 2, 1)), "its link broke")

	// As an agent hears of an entry.
	m.Heard(start.Add(linkedFor), presence("c:1", 5, 9))
	m.Lost("c:1")
	assert.Assert(t, m.Heard(start.Add(linkedFor+time.Second), presence("c:1", 3, 1)))
}

// accountAt is an account in which the store was seen at the moment it was written.
func accountAt(clock time.Duration) peer.Presence {
	p := presence("b:1", 1, 7)
	p.Store = peer.StoreStatus{Known: true, UptimeMs: clock.Milliseconds()}
	return p
}

// However long an account waits, the store was seen when it was written.
func TestAccountGrowsOldOnItsWay(t *testing.T) {
	m := NewMembers("a:1", nil, expire)
	m.Heard(start, accountAt(time.Hour))
	for _, way := range []time.Duration{time.Millisecond, 450 * time.Millisecond, 3 * time.Second, time.Minute} {
		m.Heard(start.Add(10*time.Second+way), accountAt(time.Hour+10*time.Second))
		assert.Equal(t, m.Confirmed(7), start.Add(10*time.Second), "%v on its way", way)
	}
	// The next process counts from anew.
	p := accountAt(time.Second)
	p.Incarnation = 2
	m.Heard(start.Add(2*time.Minute), p)
	assert.Equal(t, m.Confirmed(7), start.Add(2*time.Minute))
}

// Clocks that run apart, or one that stood still with its host, are made up for.
func TestClocksOfPeersRunApart(t *testing.T) {
	const apart = 500e-6
	for _, sign := range []float64{-1, 1} {
		m := NewMembers("a:1", nil, expire)
		for at := time.Duration(0); at < 24*time.Hour; at += time.Second {
			m.Heard(start.Add(at), accountAt(time.Duration(float64(at)*(1+sign*apart))))
			wrong := start.Add(at).Sub(m.Confirmed(7))
			assert.Assert(t, wrong >= 0 && wrong <= 35*time.Millisecond, "wrong by %v after %v", wrong, at)
		}
	}
	m := NewMembers("a:1", nil, expire)
	m.Heard(start, accountAt(0))
	still := 5 * time.Second
	for at := still; at < still+2*clockWindow+time.Second; at += time.Second {
		m.Heard(start.Add(at), accountAt(at-still))
	}
	assert.Assert(t, start.Add(still+2*clockWindow).Sub(m.Confirmed(7)) <= 0)
}
