package mesh

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springgate/springgate/membership"
	"github.com/springgate/springgate/mirror"
	"github.com/springgate/springgate/overlay"
	"github.com/springgate/springgate/peer"
	"gotest.tools/v3/assert"
)

// entryCount is how many entries most tests run: the first group of those that read the store
// if their copies are old (see firstGroupRanks), and four entries of the second group.
const entryCount = 2*readerCount + 4

// maxLag is the maximum delay until an entry that reaches the store must know a change: a
// configuration must be in effect, and a target that left be unused, within 2 s.
const maxLag = 1700 * time.Millisecond

// watchWait is how long a watch of the store waits.
const watchWait = time.Second

// changeInterval is the time from one change to the next.
const changeInterval = 2 * maxLag

// Guards against stale copies after all readers lose the store: entries that still reached it
// did not call it for 3 s, sent requests to targets that had announced that they leave, and
// kept replaced configurations in effect.
//
// A reader that had lost the store followed one of its own followers, and each answered the
// other from a copy that neither had compared with the store. An answer stated its age as of
// the arrival of the request, which understated the age by a second in each round, so that the
// copies were considered stale only 3.4 s after the loss.
func TestChangesArriveWhenAllReadersLoseTheStore(t *testing.T) {
	for _, f := range []fault{silent, refused, reset, killed, frozen} {
		for phase := 0 * time.Millisecond; phase < time.Second; phase += 250 * time.Millisecond {
			t.Run(fmt.Sprint(f, " after ", phase), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					all := startEntries(t, entryCount)
					defer all.stop()
					time.Sleep(5*time.Second + phase)
					lost := all.readers(time.Now().Add(-2 * time.Second))
					for _, e := range lost {
						e.inject(f)
					}
					for n := range 6 {
						for addr, delay := range lag(all.except(lost), all.change(), changeInterval) {
							assert.Check(t, delay <= maxLag, "change %d: %s received it after %v", n, addr, delay)
						}
					}
					for _, e := range all.except(lost) {
						assert.Check(t, !e.sawOutage(), "%s detected an outage although its copy was confirmed throughout", e.addr)
					}
				})
			})
		}
	}
}

// Entries that lost the store receive changes from those that did not, and read the store
// again once it answers.
func TestReadersThatLoseTheStoreFollowOthers(t *testing.T) {
	for _, f := range []fault{silent, refused, reset} {
		t.Run(string(f), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				all := startEntries(t, entryCount)
				defer all.stop()
				time.Sleep(5 * time.Second)
				lost := all.readers(time.Now().Add(-2 * time.Second))
				for _, e := range lost {
					e.view.set(f)
				}
				for range 3 {
					for addr, delay := range lag(lost, all.change(), changeInterval) {
						assert.Check(t, delay <= maxLag, "%s received the change after %v", addr, delay)
					}
				}
				for _, e := range all.all {
					assert.Check(t, !e.sawOutage(), "%s detected an outage although its copy was confirmed throughout", e.addr)
				}
				for _, e := range lost {
					e.view.set(healthy)
				}
				time.Sleep(10 * time.Second)
				for _, e := range lost {
					assert.Check(t, e.view.callsSince(time.Now().Add(-2*time.Second)) > 0, "%s does not read the store again", e.addr)
				}
			})
		})
	}
}

// The entries that would become readers next lose the store too, as in the loss of a failure
// domain.
func TestChangesArriveWhenTheNextReadersLoseTheStoreToo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := startEntries(t, entryCount)
		defer all.stop()
		time.Sleep(5 * time.Second)
		var addrs []string
		for _, e := range all.all {
			addrs = append(addrs, e.addr)
		}
		addrs = membership.Rank(readerKey, addrs, firstGroupRanks)
		for _, e := range all.all {
			if slices.Contains(addrs, e.addr) {
				e.inject(silent)
			}
		}
		for n := range 4 {
			for addr, delay := range lag(all.all, all.change(), changeInterval) {
				assert.Check(t, delay <= maxLag, "change %d: %s received it after %v", n, addr, delay)
			}
		}
	})
}

// Entries that have all lost the store and follow each other must not confirm each other's
// copies.
func TestEntriesWithoutTheStoreDoNotConfirmEachOther(t *testing.T) {
	for _, delay := range []time.Duration{0, 20 * time.Millisecond} {
		t.Run(fmt.Sprint("delay ", delay), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				all := startEntriesStaggered(t, entryCount, delay, 0)
				defer all.stop()
				time.Sleep(5 * time.Second)
				cut := time.Now()
				for _, e := range all.all {
					at, _ := e.table.LastStoreRead()
					assert.Check(t, at.Sub(e.view.lastCall()) <= watchWait, "%s reports a read later than its last call", e.addr)
				}
				for i, e := range all.all {
					e.view.set([]fault{silent, reset}[i%2]) // neither answers a watch
				}
				time.Sleep(30 * time.Second)
				for _, e := range all.all {
					b, err := e.table.Range(time.Now())
					assert.NilError(t, err)
					assert.Check(t, b.Age >= time.Since(cut)-delay, "%s considers its copy %v old", e.addr, b.Age)
				}
			})
		})
	}
}

// Load reports that are delayed must not make a copy appear younger: a link that was cut
// delivers them when it is restored.
func TestChangesArriveWhenLoadReportsAreDelayed(t *testing.T) {
	for _, transit := range []time.Duration{450 * time.Millisecond, 900 * time.Millisecond, 3 * time.Second} {
		for phase := 0 * time.Millisecond; phase < time.Second; phase += 250 * time.Millisecond {
			t.Run(fmt.Sprint(transit, " after ", phase), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					all := startEntries(t, entryCount)
					defer all.stop()
					time.Sleep(5 * time.Second)
					lost := all.readers(time.Now().Add(-2 * time.Second))
					for _, e := range lost {
						e.delay.Store(int64(transit))
					}
					time.Sleep(4*time.Second + phase)
					for _, e := range lost {
						e.inject(silent)
					}
					for n := range 3 {
						for addr, delay := range lag(all.except(lost), all.change(), changeInterval) {
							assert.Check(t, delay <= maxLag, "change %d: %s received it after %v", n, addr, delay)
						}
					}
				})
			})
		}
	}
}

// The age of a copy in a peer's answer is the age at which the peer sent it, plus the transit
// time of the answer.
func TestTransitTimeCountsIntoTheAgeOfAPeersAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const delay = 300 * time.Millisecond
		all := startEntries(t, 2)
		defer all.stop()
		time.Sleep(5 * time.Second)
		for _, e := range all.all {
			e.view.set(reset)
		}
		time.Sleep(5 * time.Second)
		near, far := all.all[0], all.all[1]
		far.delay.Store(int64(delay))
		src := &peerSource{mesh: near.mesh, addr: far.addr}
		b, err := src.Watch(t.Context(), "", far.table.Revision(), 200*time.Millisecond)
		assert.NilError(t, err)
		age := time.Since(far.table.ConfirmedAt())
		assert.Check(t, b.Age >= age && b.Age <= age+10*time.Millisecond, "age %v, want %v", b.Age, age)
	})
}

// A delay at the peer between the measurement of the age and the sending of the answer must not
// count as time for which the peer waited for changes, so that the receiver adds it to the age.
func TestDelayAfterTheAgeWasReadCountsAsTransit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := mirror.NewTable("")
		table.Replace(time.Now(), mirror.Batch{Revision: 3})
		begun := time.Now()
		b, err := table.Watch(t.Context(), 3, time.Second)
		assert.NilError(t, err)
		time.Sleep(700 * time.Millisecond)
		reply := answer(begun, b)
		assert.Equal(t, reply.AgeMs, int64(1000))
		assert.Equal(t, reply.WaitedMs, int64(1000))
	})
}

// When the readers lose the store, the same number of other entries watch it instead.
func TestOtherEntriesWatchTheStoreWhenReadersLoseIt(t *testing.T) {
	for _, f := range []fault{silent, refused, reset} {
		t.Run(string(f), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				all := startEntries(t, entryCount)
				defer all.stop()
				time.Sleep(5 * time.Second)
				lost := all.readers(time.Now().Add(-2 * time.Second))
				for _, e := range lost {
					e.view.set(f)
				}
				time.Sleep(5 * time.Second)
				begin := time.Now()
				time.Sleep(10 * time.Second)
				watching := 0
				for _, e := range all.except(lost) {
					if n := e.view.callsSince(begin); n > 0 {
						watching++
						assert.Check(t, n >= 9 && n <= 11, "%s called %d times in 10 s", e.addr, n)
					}
				}
				assert.Equal(t, watching, readerCount)
			})
		})
	}
}

// An entry whose copy has been unconfirmed for longer than a watch of the store takes reads the
// missing changes from a peer at once, without waiting for a watch result.
func TestStaleCopyCatchesUpWithoutDelay(t *testing.T) {
	cfg := Config{}.applyDefaults()
	table := mirror.NewTable("")
	m := New(Options{Table: table})
	assert.Equal(t, m.catchUpDelay(start), cfg.CatchUpAfter, "without a copy")
	table.Replace(start, mirror.Batch{Revision: 1})
	assert.Equal(t, m.catchUpDelay(start.Add(cfg.StaleAfter)), cfg.CatchUpAfter)
	assert.Equal(t, m.catchUpDelay(start.Add(cfg.StaleAfter+1)), time.Duration(0))
}

// callsSince counts the store calls that all entries began after since.
func (f *entries) callsSince(since time.Time) int {
	n := 0
	for _, e := range f.all {
		n += e.view.callsSince(since)
	}
	return n
}

// Without faults, three entries call the store once a second each, and no copy gets older than
// the time that one watch and the load report about it take.
func TestHealthyFleetCallsTheStoreThreeTimesASecond(t *testing.T) {
	for _, pause := range []time.Duration{0, 370 * time.Millisecond} {
		t.Run(fmt.Sprint("started ", pause, " apart"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				all := startEntriesStaggered(t, entryCount, 0, pause)
				defer all.stop()
				time.Sleep(5 * time.Second)
				begin := time.Now()
				oldest := time.Duration(0)
				for time.Since(begin) < time.Minute {
					time.Sleep(10 * time.Millisecond)
					for _, e := range all.all {
						b, err := e.table.Range(time.Now())
						assert.NilError(t, err)
						oldest = max(oldest, b.Age)
					}
				}
				calls := all.callsSince(begin)
				assert.Check(t, calls >= 170 && calls <= 183, "%d calls in a minute", calls)
				assert.Check(t, oldest <= 1100*time.Millisecond, "maximum age of a copy: %v", oldest)
			})
		})
	}
}

// In an outage of the store, the calls of a large fleet hardly grow with its size, and all
// entries have the store's changes soon after the outage.
func TestOutageCostsLargeFleetsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := startEntries(t, secondGroupRanks+8)
		defer all.stop()
		time.Sleep(5 * time.Second)
		for _, e := range all.all {
			e.view.set(refused)
		}
		time.Sleep(6 * time.Second)
		begin, watched := time.Now(), 16*time.Second
		time.Sleep(watched)
		infrequent := 0
		for _, e := range all.all {
			n := e.view.callsSince(begin)
			assert.Check(t, n <= int(watched/time.Second)+1, "%s called %d times", e.addr, n)
			if n <= 5 {
				infrequent++
			}
			e.view.set(healthy)
		}
		assert.Equal(t, infrequent, 8)
		for addr, delay := range lag(all.all, all.change(), changeInterval) {
			assert.Check(t, delay <= maxLag, "%s received the change after %v", addr, delay)
		}
		for _, e := range all.all {
			down, _ := e.follower.Outage()
			assert.Check(t, !down, "%s has not detected the end of the outage", e.addr)
		}
	})
}

// In an outage of the store, each entry makes at most one failing call a second. All entries
// detect the outage, so that targets whose store entries expired meanwhile are kept, and all
// have the store's changes soon after it.
func TestOutageOfTheStore(t *testing.T) {
	for _, f := range []fault{silent, refused} {
		t.Run(string(f), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				all := startEntries(t, entryCount)
				defer all.stop()
				time.Sleep(5 * time.Second)
				for _, e := range all.all {
					e.view.set(f)
				}
				begin, outage := time.Now(), 20*time.Second
				time.Sleep(outage)
				calls := all.callsSince(begin)
				t.Log("calls", calls)
				assert.Check(t, calls <= entryCount*int(outage/time.Second), "%d calls", calls)
				for _, e := range all.all {
					down, _ := e.follower.Outage()
					assert.Check(t, down, "%s has not detected the outage", e.addr)
					e.view.set(healthy)
				}
				for addr, delay := range lag(all.all, all.change(), changeInterval) {
					assert.Check(t, delay <= maxLag, "%s received the change after %v", addr, delay)
				}
				for _, e := range all.all {
					down, ended := e.follower.Outage()
					assert.Check(t, !down && time.Since(ended) < outage, "%s has not detected the end of the outage", e.addr)
				}
			})
		})
	}
}

// Followers in a small fleet may be of a release that knows no gaps in the history.
func TestGapsAreToldInLargeFleetsOnly(t *testing.T) {
	table := mirror.NewTable("")
	table.Replace(time.Now(), mirror.Batch{Revision: 10})
	table.Replace(time.Now(), mirror.Batch{Revision: 20})
	m := New(Options{Self: peer.Presence{Addr: "self", Domain: "a"}, Table: table})
	assert.Equal(t, m.readMirror(t.Context(), &peer.MirrorRead{After: 10}, "f").Status, peer.MirrorCompacted)
	m.overlay = overlay.New([]peer.Presence{m.self}, false)
	assert.Equal(t, m.readMirror(t.Context(), &peer.MirrorRead{After: 10}, "f").Status, peer.MirrorOK)
}
