package mesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/springgate/springgate/membership"
	"github.com/springgate/springgate/peer"
	"gotest.tools/v3/assert"
)

func contactOf(age time.Duration) peer.StoreStatus {
	return peer.StoreStatus{Known: true, AgeMs: age.Milliseconds()}
}

// A copy is confirmed by who saw the store itself, and only if it has all that
// the store had then.
func TestCopyIsConfirmedByWhoSawTheStore(t *testing.T) {
	m := NewMembers("a:1", nil, expire)
	b, c, d := presence("b:1", 1, 7), presence("c:1", 1, 9), presence("d:1", 1, 7)
	b.Store, c.Store = contactOf(300*time.Millisecond), contactOf(100*time.Millisecond)
	for _, p := range []peer.Presence{b, c, d} {
		m.Heard(start, p)
	}
	assert.Assert(t, m.Confirmed(6).IsZero(), "b and c saw more, d did not see it")
	assert.Equal(t, m.Confirmed(7), start.Add(-300*time.Millisecond))
	assert.Equal(t, m.Confirmed(9), start.Add(-100*time.Millisecond))
}

// roles returns how many of n entries read the store, of which the first in rank
// do not reach it, and the patience of each by rank.
func roles(t *testing.T, n, failing int) (readers int, patience []time.Duration) {
	t.Helper()
	addrs := make([]string, n)
	for i := range addrs {
		addrs[i] = fmt.Sprintf("10.0.0.%d:1", i)
	}
	ranked := membership.Rank(readerKey, addrs, n)
	for i, self := range ranked {
		from := []voter{{addr: self, failing: i < failing}}
		for k, other := range ranked {
			if other != self {
				from = append(from, voter{addr: other, failing: k < failing})
			}
		}
		r := chooseRole(peer.Presence{Addr: self, Host: self}, from)
		patience = append(patience, r.patience)
		if r.follows == "" {
			readers++
			continue
		}
		followed := membership.Rank(readerKey, ranked[failing%n:], readerCount)
		assert.Assert(t, hasAddr([]peer.Presence{{Addr: followed[0]}, {Addr: followed[1]}, {Addr: followed[2]}}, r.follows))
	}
	return readers, patience
}

func TestReadersAreAmongThoseThatReachTheStore(t *testing.T) {
	for _, failing := range []int{0, 3, 20, 40} {
		readers, _ := roles(t, 40, failing)
		assert.Equal(t, readers, readerCount, "%d of 40 do not reach it", failing)
	}
}

// What the store sends crosses to a failure domain without a reader once: one entry
// follows a reader, the others there follow that one.
func TestOneEntryOfAFailureDomainFollowsAReader(t *testing.T) {
	var all []voter
	for i := range 35 {
		all = append(all, voter{addr: fmt.Sprintf("10.%d.0.%d:1", i%5, i), domain: fmt.Sprint("d-", i%5), linkMbps: float64(40 + 160*(i/5%2))})
	}
	domainOf := map[string]string{}
	for _, v := range all {
		domainOf[v.addr] = v.domain
	}
	followedFrom := map[string]int{} // followers of another domain, by domain
	for i, self := range all {
		from := append([]voter{self}, append(append([]voter(nil), all[:i]...), all[i+1:]...)...)
		r := chooseRole(peer.Presence{Addr: self.addr, Host: self.addr, Domain: self.domain}, from)
		if r.follows != "" && domainOf[r.follows] != self.domain {
			followedFrom[self.domain]++
			assert.Equal(t, self.linkMbps, 200.0, "it has a fast link")
		}
	}
	withReader := map[string]bool{}
	for _, addr := range membership.Rank(readerKey, addrsOfVoters(all, func(voter) bool { return true }), readerCount) {
		withReader[domainOf[addr]] = true
	}
	for d, n := range followedFrom {
		assert.Equal(t, n, 1, d)
		assert.Assert(t, !withReader[d], d)
	}
	assert.Equal(t, len(followedFrom)+len(withReader), 5)
}

// A failure domain whose entries do not reach the store follows readers elsewhere.
func TestFailureDomainWithoutTheStoreFollowsReaders(t *testing.T) {
	self := voter{addr: "a:1", domain: "a", failing: true}
	from := []voter{self, {addr: "a:2", domain: "a", failing: true}, {addr: "b:1", domain: "b"}, {addr: "b:2", domain: "b"}}
	r := chooseRole(peer.Presence{Addr: "a:1", Host: "h", Domain: "a"}, from)
	assert.Assert(t, r.follows == "b:1" || r.follows == "b:2")
}

func TestOldCopiesAreReadInGroups(t *testing.T) {
	_, patience := roles(t, 40, 0)
	count := map[time.Duration]int{}
	for _, p := range patience {
		count[p]++
	}
	assert.DeepEqual(t, count, map[time.Duration]int{0: ranksFirst, patienceStep: ranksNext - ranksFirst, 2 * patienceStep: 40 - ranksNext})
	_, patience = roles(t, 40, 6)
	assert.Equal(t, patience[0], 2*patienceStep, "an entry whose calls fail leaves it to others")
	assert.Equal(t, patience[6], time.Duration(0))
}

// What the store's readers see is told at once, a burst of it now and then, and
// that they lost it at once.
func TestNewsOfTheStoreIsUrgent(t *testing.T) {
	a := newAccount(time.Second)
	told := 0
	for step := range 100 {
		now := start.Add(time.Duration(step) * 200 * time.Millisecond)
		if a.urgent(now, now, false) {
			told++
		}
	}
	assert.Equal(t, told, 50)
	now := start.Add(time.Minute)
	assert.Assert(t, a.urgent(now, now, false))
	assert.Assert(t, a.urgent(now, now, true))
	assert.Assert(t, !a.urgent(now, now, true))
}
