package mesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/springgate/springgate/membership"
	"github.com/springgate/springgate/peer"
	"gotest.tools/v3/assert"
)

func storeStatusOf(age time.Duration) peer.StoreStatus {
	return peer.StoreStatus{Known: true, AgeMs: age.Milliseconds()}
}

// A copy is confirmed only by entries that saw the store themselves, and only if it reaches
// the revision that they saw.
func TestCopyIsConfirmedByEntriesThatSawTheStore(t *testing.T) {
	m := NewMembers("a:1", nil, expire)
	b, c, d := presence("b:1", 1, 7), presence("c:1", 1, 9), presence("d:1", 1, 7)
	b.Store, c.Store = storeStatusOf(300*time.Millisecond), storeStatusOf(100*time.Millisecond)
	for _, p := range []peer.Presence{b, c, d} {
		m.Observe(start, p)
	}
	assert.Assert(t, m.ConfirmedAt(6).IsZero(), "b and c saw later revisions, d did not see the store")
	assert.Equal(t, m.ConfirmedAt(7), start.Add(-300*time.Millisecond))
	assert.Equal(t, m.ConfirmedAt(9), start.Add(-100*time.Millisecond))
}

// assignRoles returns how many of n entries are readers, and the read delay of each entry by
// rank, if the highest ranked entries, as many as failing says, do not reach the store.
func assignRoles(t *testing.T, n, failing int) (readers int, delays []time.Duration) {
	t.Helper()
	addrs := make([]string, n)
	for i := range addrs {
		addrs[i] = fmt.Sprintf("10.0.0.%d:1", i)
	}
	ranked := membership.Rank(readerKey, addrs, n)
	for i, self := range ranked {
		candidates := []readerCandidate{{addr: self, failing: i < failing}}
		for k, other := range ranked {
			if other != self {
				candidates = append(candidates, readerCandidate{addr: other, failing: k < failing})
			}
		}
		r := chooseRole(peer.Presence{Addr: self, Host: self}, candidates, nil)
		delays = append(delays, r.readDelay)
		if r.follows == "" {
			readers++
			continue
		}
		top := membership.Rank(readerKey, ranked[failing%n:], readerCount)
		assert.Assert(t, hasAddr([]peer.Presence{{Addr: top[0]}, {Addr: top[1]}, {Addr: top[2]}}, r.follows))
	}
	return readers, delays
}

func TestReadersAreAmongThoseThatReachTheStore(t *testing.T) {
	for _, failing := range []int{0, 3, 20, 40} {
		readers, _ := assignRoles(t, 40, failing)
		assert.Equal(t, readers, readerCount, "%d of 40 do not reach the store", failing)
	}
}

// The store's data crosses to a failure domain without a reader only once: one entry of the
// domain follows a reader, and the others follow that entry.
func TestOneEntryOfAFailureDomainFollowsAReader(t *testing.T) {
	var all []readerCandidate
	for i := range 35 {
		all = append(all, readerCandidate{addr: fmt.Sprintf("10.%d.0.%d:1", i%5, i), domain: fmt.Sprint("d-", i%5), linkMbps: float64(40 + 160*(i/5%2))})
	}
	domainOf := map[string]string{}
	for _, v := range all {
		domainOf[v.addr] = v.domain
	}
	followedFrom := map[string]int{} // followers of another domain, by domain
	for i, self := range all {
		candidates := append([]readerCandidate{self}, append(append([]readerCandidate(nil), all[:i]...), all[i+1:]...)...)
		r := chooseRole(peer.Presence{Addr: self.addr, Host: self.addr, Domain: self.domain}, candidates, nil)
		if r.follows != "" && domainOf[r.follows] != self.domain {
			followedFrom[self.domain]++
			assert.Equal(t, self.linkMbps, 200.0, "a domain relay must have a fast link")
		}
	}
	withReader := map[string]bool{}
	for _, addr := range membership.Rank(readerKey, readerCandidateAddrs(all, func(readerCandidate) bool { return true }), readerCount) {
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
	self := readerCandidate{addr: "a:1", domain: "a", failing: true}
	candidates := []readerCandidate{self, {addr: "a:2", domain: "a", failing: true}, {addr: "b:1", domain: "b"}, {addr: "b:2", domain: "b"}}
	r := chooseRole(peer.Presence{Addr: "a:1", Host: "h", Domain: "a"}, candidates, nil)
	assert.Assert(t, r.follows == "b:1" || r.follows == "b:2")
}

func TestOldCopiesAreRefreshedInGroups(t *testing.T) {
	_, delays := assignRoles(t, 40, 0)
	count := map[time.Duration]int{}
	for _, p := range delays {
		count[p]++
	}
	assert.DeepEqual(t, count, map[time.Duration]int{0: firstGroupRanks, groupReadDelay: secondGroupRanks - firstGroupRanks, 2 * groupReadDelay: 40 - secondGroupRanks})
	_, delays = assignRoles(t, 40, 6)
	assert.Equal(t, delays[0], 2*groupReadDelay, "an entry whose calls fail reads last")
	assert.Equal(t, delays[6], time.Duration(0))
}

// Readers report without waiting for the next heartbeat that the store was read, at a limited
// rate, and that their calls to the store fail, without that limit.
func TestStoreStateIsReportedAtOnce(t *testing.T) {
	a := newLoadReporter(time.Second)
	sent := 0
	for step := range 100 {
		now := start.Add(time.Duration(step) * 200 * time.Millisecond)
		if a.urgent(now, now, false) {
			sent++
		}
	}
	assert.Equal(t, sent, 50)
	now := start.Add(time.Minute)
	assert.Assert(t, a.urgent(now, now, false))
	assert.Assert(t, a.urgent(now, now, true))
	assert.Assert(t, !a.urgent(now, now, true))
}
