package mesh

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springgate/springgate/membership"
	"github.com/springgate/springgate/mirror"
	"gotest.tools/v3/assert"
)

// fleetSize is how many entries the tests run: the readers, as many that are next
// and four more.
const fleetSize = 2*readerCount + 4

// mostLag is how late an entry that reaches the store may learn of a change: a
// configuration must be in force, and a target left, within 2 s.
const mostLag = 1700 * time.Millisecond

// watchWait is how long a watch of the store waits.
const watchWait = time.Second

// nextChange is the time from one change to the next.
const nextChange = 2 * mostLag

// Users saw targets that had said that they leave get requests 3 s later, and
// configurations in force that had been replaced as long before. The entries
// that did this reached the store all the time; the three that watch it for all
// had lost it shortly before, and nobody else had.
//
// What follows was seen on two days of our own that show the same picture, not in
// the record of the users' day, which lacks the entries' logs of that time.
//
// What proved it: the store's calls show none by an entry that reaches it for
// 3 s at a time, so that no answer of the store was wrong and no watch missed
// anything; the entries' logs show none of them knowing of the change before its
// bound was over, so that nobody knew and chose the target all the same; and the
// peers that they left as stale, 3.4 s after the store was lost, were the
// readers' own followers. A reader without the store followed one of these, each
// answered the other from a copy that nobody had compared with the store, and an
// answer gave its age as it was when the question came, a second less with each
// round.
func TestChangesArriveWhenAllReadersLoseTheStore(t *testing.T) {
	for _, f := range []fault{silent, refused, reset, killed, frozen} {
		for phase := 0 * time.Millisecond; phase < time.Second; phase += 250 * time.Millisecond {
			t.Run(fmt.Sprint(f, " after ", phase), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					all := startEntries(t, fleetSize)
					defer all.stop()
					time.Sleep(5*time.Second + phase)
					lost := all.readers(time.Now().Add(-2 * time.Second))
					for _, e := range lost {
						e.suffer(f)
					}
					for n := range 6 {
						for addr, late := range lag(all.without(lost), all.change(), nextChange) {
							assert.Check(t, late <= mostLag, "change %d: %s learnt of it after %v", n, addr, late)
						}
					}
					for _, e := range all.without(lost) {
						assert.Check(t, !e.sawAnOutage(), "the copy of %s was confirmed all along", e.addr)
					}
				})
			})
		}
	}
}

// The entries that lost the store learn of changes from those that did not, and
// read it again when it answers.
func TestReadersThatLoseTheStoreFollowOthers(t *testing.T) {
	for _, f := range []fault{silent, refused, reset} {
		t.Run(string(f), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				all := startEntries(t, fleetSize)
				defer all.stop()
				time.Sleep(5 * time.Second)
				lost := all.readers(time.Now().Add(-2 * time.Second))
				for _, e := range lost {
					e.view.set(f)
				}
				for range 3 {
					for addr, late := range lag(lost, all.change(), nextChange) {
						assert.Check(t, late <= mostLag, "%s learnt of it after %v", addr, late)
					}
				}
				for _, e := range all.all {
					assert.Check(t, !e.sawAnOutage(), "the copy of %s was confirmed all along", e.addr)
				}
				for _, e := range lost {
					e.view.set(works)
				}
				time.Sleep(10 * time.Second)
				for _, e := range lost {
					assert.Check(t, e.view.since(time.Now().Add(-2*time.Second)) > 0, "%s reads the store again", e.addr)
				}
			})
		})
	}
}

// The entries that would be readers next are cut off too, as in the loss of a
// failure domain.
func TestChangesArriveWhenTheNextReadersLoseTheStoreToo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := startEntries(t, fleetSize)
		defer all.stop()
		time.Sleep(5 * time.Second)
		var addrs []string
		for _, e := range all.all {
			addrs = append(addrs, e.addr)
		}
		addrs = membership.Rank(readerKey, addrs, ranksFirst)
		for _, e := range all.all {
			if slices.Contains(addrs, e.addr) {
				e.suffer(silent)
			}
		}
		for n := range 4 {
			for addr, late := range lag(all.all, all.change(), nextChange) {
				assert.Check(t, late <= mostLag, "change %d: %s learnt of it after %v", n, addr, late)
			}
		}
	})
}

// Entries that all have lost the store and follow each other do not take each
// other's copies for fresh.
func TestEntriesWithoutTheStoreDoNotConfirmEachOther(t *testing.T) {
	for _, way := range []time.Duration{0, 20 * time.Millisecond} {
		t.Run(fmt.Sprint("way ", way), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				all := startEntriesApart(t, fleetSize, way, 0)
				defer all.stop()
				time.Sleep(5 * time.Second)
				cut := time.Now()
				for _, e := range all.all {
					at, _ := e.table.Read()
					assert.Check(t, at.Sub(e.view.last()) <= watchWait, "%s tells of a read that it did not make", e.addr)
				}
				for i, e := range all.all {
					e.view.set([]fault{silent, reset}[i%2]) // both answer no call that waits
				}
				time.Sleep(30 * time.Second)
				for _, e := range all.all {
					b, err := e.table.Range(time.Now())
					assert.NilError(t, err)
					assert.Check(t, b.Age >= time.Since(cut)-way, "%s holds its copy for %v old", e.addr, b.Age)
				}
			})
		})
	}
}

// Accounts that are long on their way do not make a copy younger: a link that was
// cut delivers them when it is whole again.
func TestChangesArriveWhenAccountsAreLongOnTheirWay(t *testing.T) {
	for _, way := range []time.Duration{450 * time.Millisecond, 900 * time.Millisecond, 3 * time.Second} {
		for phase := 0 * time.Millisecond; phase < time.Second; phase += 250 * time.Millisecond {
			t.Run(fmt.Sprint(way, " after ", phase), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					all := startEntries(t, fleetSize)
					defer all.stop()
					time.Sleep(5 * time.Second)
					lost := all.readers(time.Now().Add(-2 * time.Second))
					for _, e := range lost {
						e.way.Store(int64(way))
					}
					time.Sleep(4*time.Second + phase)
					for _, e := range lost {
						e.suffer(silent)
					}
					for n := range 3 {
						for addr, late := range lag(all.without(lost), all.change(), nextChange) {
							assert.Check(t, late <= mostLag, "change %d: %s learnt of it after %v", n, addr, late)
						}
					}
				})
			})
		}
	}
}

// A peer's answer is as old as when the peer gave it, and its way.
func TestAnswerOfAPeerGrowsOldOnItsWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const way = 300 * time.Millisecond
		all := startEntries(t, 2)
		defer all.stop()
		time.Sleep(5 * time.Second)
		for _, e := range all.all {
			e.view.set(reset)
		}
		time.Sleep(5 * time.Second)
		near, far := all.all[0], all.all[1]
		far.way.Store(int64(way))
		src := &peerSource{mesh: near.mesh, addr: far.addr}
		b, err := src.Watch(t.Context(), "", far.table.Revision(), 200*time.Millisecond)
		assert.NilError(t, err)
		age := time.Since(far.table.ContactAt())
		assert.Check(t, b.Age >= age && b.Age <= age+10*time.Millisecond, "%v, and is %v old", b.Age, age)
	})
}

// What passes between the reading of the age and the end of the answer is no part
// of the time for which the question was held.
func TestPauseAfterTheAgeWasReadIsPartOfTheWay(t *testing.T) {
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

// Entries that lost the store leave it to others, also to watch it.
func TestOthersWatchTheStoreWhenItsReadersLoseIt(t *testing.T) {
	for _, f := range []fault{silent, refused, reset} {
		t.Run(string(f), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				all := startEntries(t, fleetSize)
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
				for _, e := range all.without(lost) {
					if n := e.view.since(begin); n > 0 {
						watching++
						assert.Check(t, n >= 9 && n <= 11, "%s called %d times in 10 s", e.addr, n)
					}
				}
				assert.Equal(t, watching, readerCount)
			})
		})
	}
}

// No watch is waited for once the copy is older than one takes.
func TestOldCopyThatIsBehindIsReadFromAPeerAtOnce(t *testing.T) {
	cfg := Config{}.applyDefaults()
	table := mirror.NewTable("")
	m := New(Options{Table: table})
	assert.Equal(t, m.patienceBehind(start), cfg.BehindAfter, "there is no copy")
	table.Replace(start, mirror.Batch{Revision: 1})
	assert.Equal(t, m.patienceBehind(start.Add(cfg.UnconfirmedAfter)), cfg.BehindAfter)
	assert.Equal(t, m.patienceBehind(start.Add(cfg.UnconfirmedAfter+1)), time.Duration(0))
}

// callsOf counts the calls that all entries began after since.
func (f *entries) callsOf(since time.Time) int {
	n := 0
	for _, e := range f.all {
		n += e.view.since(since)
	}
	return n
}

// On a calm day, three entries call the store once a second, and each copy is
// known to be no older than one watch and the account of it.
func TestCalmFleetCallsTheStoreThreeTimesASecond(t *testing.T) {
	for _, apart := range []time.Duration{0, 370 * time.Millisecond} {
		t.Run(fmt.Sprint("started ", apart, " apart"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				all := startEntriesApart(t, fleetSize, 0, apart)
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
				calls := all.callsOf(begin)
				assert.Check(t, calls >= 170 && calls <= 183, "%d calls in a minute", calls)
				assert.Check(t, oldest <= 1100*time.Millisecond, "a copy was %v old", oldest)
			})
		})
	}
}

// In an outage of the store a large fleet's calls hardly grow with its size, and
// all entries have the store's changes soon after it.
func TestOutageCostsLargeFleetsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := startEntries(t, ranksNext+8)
		defer all.stop()
		time.Sleep(5 * time.Second)
		for _, e := range all.all {
			e.view.set(refused)
		}
		time.Sleep(6 * time.Second)
		begin, watched := time.Now(), 16*time.Second
		time.Sleep(watched)
		few := 0
		for _, e := range all.all {
			n := e.view.since(begin)
			assert.Check(t, n <= int(watched/time.Second)+1, "%s called %d times", e.addr, n)
			if n <= 5 {
				few++
			}
			e.view.set(works)
		}
		assert.Equal(t, few, 8)
		for addr, late := range lag(all.all, all.change(), nextChange) {
			assert.Check(t, late <= mostLag, "%s learnt of it after %v", addr, late)
		}
		for _, e := range all.all {
			down, _ := e.follower.Outage()
			assert.Check(t, !down, "%s does not know that the outage is over", e.addr)
		}
	})
}

// An outage of the store costs calls that fail: at most one a second by each
// entry. All entries know of it, so that targets whose entries lapsed meanwhile
// are held, and all have the store's changes soon after it.
func TestOutageOfTheStore(t *testing.T) {
	for _, f := range []fault{silent, refused} {
		t.Run(string(f), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				all := startEntries(t, fleetSize)
				defer all.stop()
				time.Sleep(5 * time.Second)
				for _, e := range all.all {
					e.view.set(f)
				}
				begin, outage := time.Now(), 20*time.Second
				time.Sleep(outage)
				calls := all.callsOf(begin)
				t.Log("calls", calls)
				assert.Check(t, calls <= fleetSize*int(outage/time.Second), "%d calls", calls)
				for _, e := range all.all {
					down, _ := e.follower.Outage()
					assert.Check(t, down, "%s does not know of the outage", e.addr)
					e.view.set(works)
				}
				for addr, late := range lag(all.all, all.change(), nextChange) {
					assert.Check(t, late <= mostLag, "%s learnt of it after %v", addr, late)
				}
				for _, e := range all.all {
					down, ended := e.follower.Outage()
					assert.Check(t, !down && time.Since(ended) < outage, "%s does not know that the outage is over", e.addr)
				}
			})
		})
	}
}
