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
	addr, ok := m.Ahead(start, 4)
	assert.Assert(t, ok)
	assert.Equal(t, addr, "c:1")
	_, ok = m.Ahead(start, 8)
	assert.Assert(t, !ok)
}
