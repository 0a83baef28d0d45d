package mesh

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/mirror"
	"github.com/springgate/springgate/peer"
	"gotest.tools/v3/assert"
)

// reportedEntry returns what an entry reports about itself; it has a copy of the store if revision
// is not 0.
func reportedEntry(addr, domain string, linkMbps float64, revision mirror.Revision) peer.Presence {
	return peer.Presence{Addr: addr, Host: "host of " + addr, Domain: domain, LinkMbps: linkMbps, Revision: revision}
}

// An entry asks those of its failure domain first, whose copy need not cross a link between regions,
// then those with fast links, and nobody without a copy.
func TestOrderOfCopyHolders(t *testing.T) {
	self := reportedEntry("self", "a", 100, 0)
	live := []peer.Presence{reportedEntry("b-slow", "b", 20, 7), reportedEntry("b-fast", "b", 100, 7),
		reportedEntry("a-slow", "a", 20, 7), reportedEntry("a-none", "a", 100, 0)}
	assert.DeepEqual(t, copyHolders(self, live), []string{"a-slow", "b-fast", "b-slow"})
}

// One entry of each failure domain reads the store at once: one with a fast link whose calls do not
// fail.
func TestOneEntryOfADomainReadsTheStoreFirst(t *testing.T) {
	all := []peer.Presence{reportedEntry("1", "a", 100, 0), reportedEntry("2", "a", 100, 0), reportedEntry("3", "a", 20, 0),
		reportedEntry("4", "b", 100, 0)}
	turns := map[string]int{}
	first := -1
	for i, self := range all {
		turns[self.Addr] = storeTurnOf(self, others(all, i))
		if self.Domain == "a" && turns[self.Addr] == 0 {
			assert.Equal(t, first, -1, "two entries of a domain read the store at once")
			first = i
		}
	}
	assert.Equal(t, turns["1"]+turns["2"], 1)
	assert.Equal(t, turns["3"], 2, "an entry with a slow link reads the store before those with fast links")
	assert.Equal(t, turns["4"], 0, "the only entry of its domain")
	all[first].Store.Failing = true
	assert.Equal(t, storeTurnOf(all[1-first], others(all, 1-first)), 0, "an entry that does not reach the store goes first")
}

// others returns all entries but the i-th.
func others(all []peer.Presence, i int) []peer.Presence {
	return append(append([]peer.Presence{}, all[:i]...), all[i+1:]...)
}

func TestFirstCopyCallsThatAreDue(t *testing.T) {
	now := time.Now()
	at := func(ago time.Duration) time.Time { return now.Add(-ago) }
	none := map[string]time.Time{}
	for name, c := range map[string]struct {
		calls   firstCopyCalls
		waited  time.Duration
		turn    int
		holders []string
		holder  string
		store   bool
	}{
		"nobody has a copy, first turn":               {waited: 0, store: true},
		"nobody has a copy, not its turn":             {waited: storeTurn - 1, turn: 1},
		"the entries before it got no copy":           {waited: 2 * storeTurn, turn: 2, store: true},
		"many entries before it":                      {waited: maxStoreTurns * storeTurn, turn: 30, store: true},
		"store is called once":                        {calls: firstCopyCalls{storeCalled: true}, waited: time.Hour},
		"somebody has a copy while the store is read": {calls: firstCopyCalls{storeCalled: true}, holders: []string{"x"}, holder: "x"},
		"patient with the one that is asked": {calls: firstCopyCalls{storeCalled: true, pending: map[string]bool{"x": true},
			lastHolder: at(holderPatience - 1)}, holders: []string{"x", "y"}},
		"a second one beside one that is slow": {calls: firstCopyCalls{storeCalled: true, pending: map[string]bool{"x": true},
			lastHolder: at(holderPatience)}, holders: []string{"x", "y"}, holder: "y"},
		"no third one": {calls: firstCopyCalls{storeCalled: true, pending: map[string]bool{"x": true, "y": true},
			lastHolder: at(time.Hour)}, holders: []string{"x", "y", "z"}},
		"another one at once if one failed": {calls: firstCopyCalls{storeCalled: true, lastHolder: now,
			failed: map[string]time.Time{"x": now}}, holders: []string{"x", "y"}, holder: "y"},
		"one that failed again after a while": {calls: firstCopyCalls{storeCalled: true, failed: map[string]time.Time{"x": at(holderRetry)}},
			holders: []string{"x"}, holder: "x"},
		"the store waits for an answer of an entry": {calls: firstCopyCalls{pending: map[string]bool{"x": true}, lastHolder: at(storeTurn - 1)},
			waited: time.Hour},
		"the store beside entries that do not answer": {calls: firstCopyCalls{pending: map[string]bool{"x": true, "y": true}, lastHolder: at(storeTurn)},
			waited: time.Hour, store: true},
	} {
		t.Run(name, func(t *testing.T) {
			if c.calls.failed == nil {
				c.calls.failed = none
			}
			assert.Equal(t, c.calls.nextHolder(now, c.holders), c.holder)
			assert.Equal(t, c.calls.storeDue(now, c.waited, c.turn), c.store)
		})
	}
}

// After a loss of power all entries start together, and a copy of the store takes one of them a
// second or more on a link that all share. They get it from the entry that has it first.
func TestSlowStoreAnswersDoNotDelayFirstCopies(t *testing.T) {
	const slow = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		all := startEntries(t, entryCount)
		defer time.Sleep(3 * slow) // until the store has given all answers
		defer all.stop()
		for i, e := range all.all {
			if i != 3 {
				e.view.mu.Lock()
				e.view.answerDelay = func() time.Duration { return slow }
				e.view.mu.Unlock()
			}
		}
		for all.all[3].table.Revision() == 0 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(2 * holderPatience)
		all.assertCopies(t, all.all)
	})
}

// Entries of a small fleet that start together read few whole copies from the store.
func TestFirstCopiesOfASmallFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := startEntriesStaggered(t, 20, 3*time.Millisecond, 20*time.Millisecond)
		defer all.stop()
		time.Sleep(2 * time.Second)
		all.assertCopies(t, all.all)
		assert.Check(t, storeRanges(all.all) <= readerCount, "%d whole copies read from the store", storeRanges(all.all))
	})
}

// The store may not answer the entry that is to read it first, or none of the first ones.
func TestFirstCopyWhileTheStoreIsSilentToSome(t *testing.T) {
	for silentTo := range entryCount {
		synctest.Test(t, func(t *testing.T) {
			all := startEntries(t, entryCount)
			defer all.stop()
			for _, e := range all.all[:silentTo] {
				e.view.set(silent)
			}
			time.Sleep(startHold + (maxStoreTurns+1)*storeTurn)
			all.assertCopies(t, all.all)
		})
	}
}

// The store is away when the fleet starts: entries have their copies soon after it is back.
func TestFirstCopyAfterAnOutageAtTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := startEntries(t, entryCount)
		defer all.stop()
		for _, e := range all.all {
			e.view.set(refused)
		}
		time.Sleep(3 * time.Second)
		calls := all.callsSince(time.Time{})
		assert.Check(t, calls <= 12*entryCount, "%d calls in an outage of 3 s", calls)
		for _, e := range all.all {
			e.view.set(healthy)
		}
		time.Sleep(2500 * time.Millisecond)
		all.assertCopies(t, all.all)
	})
}

// A full copy is packed for entries that ask for that, and sent as before to others.
func TestPackedCopy(t *testing.T) {
	m := &Mesh{table: mirror.NewTable("")}
	m.table.Replace(time.Now(), mirror.Batch{Revision: 5, Events: []mirror.Event{
		{Item: mirror.Item{Key: "config", Value: make([]byte, 4*minPackedBytes), Revision: 5}}}})
	plain := m.readMirror(t.Context(), &peer.MirrorRead{All: true}, "f")
	assert.Assert(t, plain.Added.Packed == nil)
	for range 2 { // the second is answered from memory
		packed := m.readMirror(t.Context(), &peer.MirrorRead{All: true, Added: peer.MirrorReadAdded{Packed: true}}, "f")
		assert.Assert(t, packed.Events == nil && len(packed.Added.Packed) < minPackedBytes, "%d bytes", len(packed.Added.Packed))
		events, err := peer.UnpackEvents(packed.Added.Packed)
		assert.NilError(t, err)
		assert.DeepEqual(t, events, plain.Events)
	}
	m.table.Apply(time.Now(), mirror.Batch{Revision: 6, Events: []mirror.Event{{Item: mirror.Item{Key: "other", Value: []byte("x"), Revision: 6}}}})
	packed := m.readMirror(t.Context(), &peer.MirrorRead{All: true, Added: peer.MirrorReadAdded{Packed: true}}, "f")
	events, err := peer.UnpackEvents(packed.Added.Packed)
	assert.NilError(t, err)
	assert.Equal(t, len(events), 2, "a changed copy is packed again")
}

// The start hold of an entry ends when another one reports a copy, also if that one was known
// before without a copy.
func TestStartHoldEndsWhenAKnownEntryHasACopy(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	m := New(Options{Self: reportedEntry("self", "a", 0, 0), Seeds: []string{"x"}, Table: mirror.NewTable(""), Log: log})
	m.NewFollower(mirror.Config{}, &storeView{}, log)
	now := m.startedAt
	m.introduced = true
	x := reportedEntry("x", "a", 0, 0)
	m.members.Observe(now, x)
	m.setLive(m.members.Live(now))
	m.endStartHold(now)
	assert.Assert(t, m.startHeld)
	x.Revision = 1
	m.members.Observe(now, x)
	m.endStartHold(now)
	assert.Assert(t, !m.startHeld)
	assert.Assert(t, m.racesFirstCopy())
}
