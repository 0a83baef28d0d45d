package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/dispatch"
	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/mirror"
	"github.com/springgate/springgate/peer"
	"github.com/springgate/springgate/targetconn"
	"gotest.tools/v3/assert"
)

// These tests guard against going back to an older state after the store was restored from an
// older copy: it then lacks what it had acknowledged, until the operators and the targets write
// that again within rewriteBound.

// rewriteBound is how long after a restore operators and live targets may take to write again
// what the store has lost.
const rewriteBound = 2 * time.Second

// nextEra is the difference between revisions of the same number in an era of the store and
// the next: revisions are in order of the era, and then of the number.
const nextEra = 1 << 40

// restorableStore is the content of a store as its clients see it.
type restorableStore struct{ all mirror.Batch }

// put writes the JSON of a value.
func (s *restorableStore) put(key string, value any) {
	s.remove(key)
	b, _ := json.Marshal(value) // all values of these tests can be encoded
	s.all.Events = append(s.all.Events, mirror.Event{Item: mirror.Item{Key: key, Value: b, Revision: s.all.Revision}})
}

func (s *restorableStore) remove(key string) {
	s.all.Revision++
	s.all.Events = slices.DeleteFunc(s.all.Events, func(e mirror.Event) bool { return e.Key == key })
}

func (s *restorableStore) snapshot() mirror.Batch {
	out := s.all
	out.Events = slices.Clone(out.Events)
	return out
}

// restore returns to the content of an earlier snapshot and begins the next era.
func (s *restorableStore) restore(earlier mirror.Batch) {
	era := s.all.Revision/nextEra + 1
	earlier.Revision = era*nextEra + earlier.Revision%nextEra
	for i, e := range earlier.Events {
		earlier.Events[i].Revision = era*nextEra + e.Revision%nextEra
	}
	s.all = earlier
}

// Keys of the store.
const (
	keyTestConfig    = "config"
	keyTestVersion   = "version m"
	prefixEvacuation = "evacuate "
	prefixTarget     = "target "
)

// storedTarget is a target as the store lists it.
type storedTarget struct {
	Addr, Domain  string
	StartMs, Beat int64
	Draining      bool
	Version       int
}

// storeDecoder decodes the items of a restorableStore. The configuration is its version
// number; it accepts the API key of the same number.
type storeDecoder struct{ services []*fleet.Service }

func rotatingKey(config int64) string { return fmt.Sprint("key-", config) }

func (d storeDecoder) Config(i mirror.Item) (*fleet.Config, error) {
	var version int64
	if i.Key != keyTestConfig {
		return nil, nil
	}
	err := json.Unmarshal(i.Value, &version)
	return fleet.NewConfig(version, routes(), d.services, map[string]*fleet.Team{rotatingKey(version): {Name: "blue"}}, fleet.Limits{BodyBytes: 1 << 10}), err
}

func (storeDecoder) Version(i mirror.Item) (v fleet.VersionTarget, ok bool, err error) {
	if i.Key != keyTestVersion {
		return v, false, nil
	}
	v.Model = "m"
	return v, true, json.Unmarshal(i.Value, &v.Version)
}

func (storeDecoder) Evacuation(i mirror.Item) (string, bool) {
	return strings.CutPrefix(i.Key, prefixEvacuation)
}

func (storeDecoder) IsInstance(i mirror.Item) bool { return strings.HasPrefix(i.Key, prefixTarget) }

func (storeDecoder) Instance(i mirror.Item) (*fleet.Instance, error) {
	var v storedTarget
	if err := json.Unmarshal(i.Value, &v); err != nil {
		return nil, err
	}
	out := &fleet.Instance{ID: strings.TrimPrefix(i.Key, prefixTarget), Service: "s", Addr: v.Addr, Domain: v.Domain, StartMs: v.StartMs,
		HeartbeatSeq: v.Beat, Draining: v.Draining, Slots: 16, Models: []fleet.ModelVersion{{Model: "m", Version: v.Version, Layers: 1}}}
	setRevision(&out.Revision, i.Revision)
	return out, nil
}

// setRevision converts between the types of revisions.
func setRevision[D, S ~int64](to *D, from S) { *to = D(from) }

// prefetches records the versions that are to be read ahead.
type prefetches struct {
	fakeRelay
	versions []int
}

func (p *prefetches) Prefetch(_ context.Context, _ string, version, _ int) {
	p.versions = append(p.versions, version)
}

// restoreTest is an entry's control that follows a store. It runs in a synctest bubble.
type restoreTest struct {
	t        *testing.T
	store    restorableStore
	table    *mirror.Table
	control  *Control
	gateway  *Gateway
	balancer *dispatch.Balancer
	relay    *prefetches
}

const restoreVersionTimeout = 8 * time.Second

// newRestoreTest starts a control with configuration 1, version 1 and two targets, of which
// the entry knows as long as it can.
func newRestoreTest(t *testing.T) *restoreTest {
	f := newUnreadRestoreTest(t)
	f.read()
	f.run()
	return f
}

// newUnreadRestoreTest returns a control that has read nothing and does not run.
func newUnreadRestoreTest(t *testing.T) *restoreTest {
	log := logrus.New()
	log.SetOutput(io.Discard)
	engine := *assignModel
	engine.Layers, engine.Slots, engine.StepsPerPass, engine.PrefillRate = 1, 8, 1, 1000
	f := &restoreTest{t: t, table: mirror.NewTable(""), relay: &prefetches{}, balancer: dispatch.NewBalancer(dispatch.Config{VersionTimeout: restoreVersionTimeout, SampleSize: 100,
		Regions: map[string]string{"a": "north", "b": "south"}}, rand.New(rand.NewPCG(1, 2)))}
	f.gateway = New(Config{}, testDialect{}, f.balancer, targetconn.NewPool(targetconn.Config{}), grantAll{}, NewStats(metrics.NewRegistry()), log)
	f.control = NewControl(ControlOptions{Config: ControlConfig{VersionTimeout: restoreVersionTimeout}, Addr: "entry-1", Gateway: f.gateway, Balancer: f.balancer,
		Decoder: storeDecoder{[]*fleet.Service{{Name: "s", Engine: &engine}}}, Table: f.table, Outage: func() (bool, time.Time) { return false, time.Time{} },
		Roster: Roster{RetainFor: 1300 * time.Millisecond, CatchUp: 2500 * time.Millisecond}, Relay: f.relay, Log: log})
	f.store.put(keyTestConfig, 1)
	f.store.put(keyTestVersion, 1)
	f.putTarget("x", "a", func(*storedTarget) {})
	f.putTarget("y", "b", func(*storedTarget) {})
	return f
}

// run runs the control until the test ends.
func (f *restoreTest) run() {
	ctx, cancel := context.WithCancel(f.t.Context())
	go f.control.Run(ctx)
	f.t.Cleanup(func() {
		cancel()
		synctest.Wait()
	})
	synctest.Wait()
}

// putTarget lists a target, which holds version 1 and is ready unless change sets it otherwise.
func (f *restoreTest) putTarget(id, domain string, change func(*storedTarget)) {
	v := storedTarget{Addr: id + ".example:80", Domain: domain, StartMs: 1000, Beat: 5, Version: 1}
	change(&v)
	f.store.put(prefixTarget+id, v)
}

// read lets the entry read the store's content.
func (f *restoreTest) read() {
	f.table.Replace(time.Now(), f.store.snapshot())
	synctest.Wait()
}

// restore restores the store from a snapshot and lets the entry read it.
func (f *restoreTest) restore(earlier mirror.Batch) {
	earlier.Events = slices.Clone(earlier.Events)
	f.store.restore(earlier)
	f.read()
}

// wait lets some time pass.
func (f *restoreTest) wait(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// used returns the targets that requests may be sent to, sorted.
func (f *restoreTest) used() []string {
	out := []string{}
	for {
		choice, verdict := f.balancer.Pick(time.Now(), "s", dispatch.Demand{}, out)
		if verdict != dispatch.Chosen {
			slices.Sort(out)
			return out
		}
		f.balancer.Cancel(choice.Target, dispatch.Demand{})
		out = append(out, choice.Instance.ID)
	}
}

// checkUsed checks which targets are used now and until rewriteBound is over.
func (f *restoreTest) checkUsed(what string, want ...string) {
	f.t.Helper()
	const steps = 20
	for i := range steps {
		assert.DeepEqual(f.t, f.used(), want)
		if f.t.Failed() {
			f.t.Fatalf("%s, %v after the change", what, time.Duration(i)*rewriteBound/steps)
		}
		f.wait(rewriteBound / steps)
	}
}

// denied reports whether the rotating key of a configuration is denied.
func (f *restoreTest) denied(config int64) bool {
	r := httptest.NewRequest(http.MethodPost, "/short/x", strings.NewReader(""))
	r.Host = "h.example"
	r.Header.Set("Key", rotatingKey(config))
	r.Header.Set("Left-Ms", "1")
	w := httptest.NewRecorder()
	f.gateway.ServeHTTP(w, r)
	return w.Code == http.StatusUnauthorized
}

func TestRestoreDoesNotTakeAConfigurationBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestoreTest(t)
		f.store.remove(prefixTarget + "x")
		f.store.remove(prefixTarget + "y") // so that no request is sent
		old := f.store.snapshot()
		for version := 2; version <= 4; version++ {
			f.store.put(keyTestConfig, version)
		}
		f.read()
		f.wait(3 * time.Second)
		for range 2 {
			f.restore(old)
			assert.Equal(t, f.gateway.Config().Version, int64(4))
			assert.Assert(t, f.denied(1), "a revoked key is accepted")
			assert.Assert(t, !f.denied(4))
			f.wait(rewriteBound)
			f.store.put(keyTestConfig, 4)
			f.read()
			assert.Equal(t, f.gateway.Config().Version, int64(4))
		}
		f.store.put(keyTestConfig, 7)
		f.read()
		assert.Equal(t, f.gateway.Config().Version, int64(7))
		assert.Assert(t, f.denied(4) && !f.denied(7))
	})
}

// A target that has left serves no longer, or its process is about to end. The restored list
// shows it as it was before.
func TestRestoredListDoesNotBringATargetBack(t *testing.T) {
	drain := func(f *restoreTest) { f.putTarget("y", "b", func(v *storedTarget) { v.Draining, v.Beat = true, 6 }) }
	remove := func(f *restoreTest) { f.store.remove(prefixTarget + "y") }
	for name, leave := range map[string]func(*restoreTest){
		"draining": drain,
		"removed":  remove,
		"drained and removed": func(f *restoreTest) {
			drain(f)
			f.read()
			remove(f)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRestoreTest(t)
				old := f.store.snapshot()
				leave(f)
				f.read()
				f.wait(4 * time.Second)
				assert.DeepEqual(t, f.used(), []string{"x"})
				for range 2 {
					f.restore(old)
					f.checkUsed("restored", "x")
					leave(f)
					f.read()
					f.checkUsed("written again", "x")
				}
				f.putTarget("y", "b", func(v *storedTarget) { v.StartMs, v.Beat = 9000, 1 })
				f.read()
				assert.DeepEqual(t, f.used(), []string{"x", "y"})
			})
		})
	}
}

// An incarnation that was replaced by another at its address is gone, too.
func TestRestoredListDoesNotBringAReplacedTargetBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestoreTest(t)
		old := f.store.snapshot()
		f.store.remove(prefixTarget + "y")
		replace := func() {
			f.putTarget("z", "b", func(v *storedTarget) { v.Addr, v.StartMs = "y.example:80", 5000 })
		}
		replace()
		f.read()
		f.wait(4 * time.Second)
		assert.DeepEqual(t, f.used(), []string{"x", "z"})
		f.restore(old)
		f.wait(rewriteBound / 2)
		assert.DeepEqual(t, f.used(), []string{"x", "z"})
		f.store.remove(prefixTarget + "y")
		replace()
		f.read()
		f.wait(4 * time.Second)
		assert.DeepEqual(t, f.used(), []string{"x", "z"})
	})
}

// The restored entry of a target that restarted under its ID describes the earlier incarnation,
// of which nothing is true any more.
func TestRestoredListDoesNotBringAnEarlierIncarnationBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestoreTest(t)
		f.putTarget("y", "b", func(v *storedTarget) { v.Draining = true })
		f.read()
		old := f.store.snapshot()
		restart := func(beat int64) {
			f.putTarget("y", "b", func(v *storedTarget) { v.StartMs, v.Beat = 9000, beat })
		}
		restart(1)
		f.read()
		assert.DeepEqual(t, f.used(), []string{"x", "y"})
		f.wait(time.Second)
		f.restore(old)
		f.checkUsed("restored", "x", "y")
		restart(2)
		f.read()
		f.checkUsed("written again", "x", "y")
	})
}

// An entry of a target that has expired in the meantime is no proof that the target is gone: if
// it registers again, it serves.
func TestTargetThatRegistersAfterARestoreServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestoreTest(t)
		old := f.store.snapshot()
		f.store.remove(prefixTarget + "y")
		f.read()
		f.wait(4 * time.Second)
		f.restore(old)
		f.wait(rewriteBound / 2)
		f.putTarget("y", "b", func(v *storedTarget) { v.Beat = 12 })
		f.read()
		assert.DeepEqual(t, f.used(), []string{"x", "y"})
	})
}

// A target that registered after the copy was taken is missing until it registers again, for
// which it has rewriteBound. One that does not is gone.
func TestTargetMissingAfterARestoreIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestoreTest(t)
		old := f.store.snapshot()
		for _, id := range []string{"dead", "live"} {
			f.putTarget(id, "a", func(*storedTarget) {})
		}
		f.read()
		f.wait(time.Second)
		f.restore(old)
		f.checkUsed("restored", "dead", "live", "x", "y")
		f.putTarget("live", "a", func(v *storedTarget) { v.Beat++ })
		f.read()
		f.wait(rewriteBound)
		assert.DeepEqual(t, f.used(), []string{"live", "x", "y"})
	})
}

// A version has been announced since the copy was taken. Its time runs on, whether or not it
// is missing for a while.
func TestRestoreDoesNotTakeAVersionBack(t *testing.T) {
	agent := peer.Presence{Service: "s", EngineAddr: "x.example:80"}
	for name, before := range map[string]int{"an older version": 1, "no version": 0} {
		for _, writtenAgain := range []time.Duration{500 * time.Millisecond, rewriteBound, time.Hour} {
			t.Run(fmt.Sprintf("%s, written again after %v", name, writtenAgain), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newRestoreTest(t)
					if before == 0 {
						f.store.remove(keyTestVersion)
					}
					old := f.store.snapshot()
					f.wait(time.Minute)
					f.store.put(keyTestVersion, 2)
					f.read()
					announced, ahead := time.Now(), len(f.relay.versions)
					f.wait(3 * time.Second)
					f.restore(old)
					restored := time.Now()
					for time.Since(announced) < restoreVersionTimeout {
						if since := time.Since(restored); since >= writtenAgain && since < writtenAgain+100*time.Millisecond {
							f.store.put(keyTestVersion, 2)
							f.read()
						}
						got, _ := f.control.Assignment(agent)
						age := time.Since(announced).Milliseconds()
						assert.Equal(t, got.Version, 2)
						assert.Equal(t, got.AgeMs, age)
						assert.Assert(t, !got.AgeEstimated)
						assert.DeepEqual(t, f.control.Announced(time.Now()), []peer.ObservedVersion{{Model: "m", Version: 2, AgeMs: age}})
						f.wait(100 * time.Millisecond)
					}
					assert.DeepEqual(t, f.used(), []string{}) // all targets hold version 1
					older := func(version int) bool { return version < 2 }
					assert.Assert(t, !slices.ContainsFunc(f.relay.versions[ahead:], older), "prefetched: %v", f.relay.versions[ahead:])
				})
			})
		}
	}
}

// A failure domain stays evacuated until the operators have had the time to write that again,
// and not for good if they do not.
func TestEvacuationStaysAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestoreTest(t)
		old := f.store.snapshot()
		f.store.put(prefixEvacuation+"b", nil)
		f.read()
		f.wait(3 * time.Second)
		assert.DeepEqual(t, f.used(), []string{"x"})
		f.restore(old)
		f.checkUsed("restored", "x")
		f.store.put(prefixEvacuation+"b", nil)
		f.read()
		f.checkUsed("written again", "x")
		f.restore(old)
		f.wait(time.Minute)
		assert.DeepEqual(t, f.used(), []string{"x", "y"})
	})
}

// An evacuation that the operators had withdrawn is in the restored copy until they have
// withdrawn it again. One that they order after the restore counts at once.
func TestWithdrawnEvacuationDoesNotReturnWithARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestoreTest(t)
		f.store.put(prefixEvacuation+"b", nil)
		f.read()
		old := f.store.snapshot()
		f.store.remove(prefixEvacuation + "b")
		f.read()
		f.wait(3 * time.Second)
		assert.DeepEqual(t, f.used(), []string{"x", "y"})
		f.restore(old)
		f.checkUsed("restored", "x", "y")
		f.store.remove(prefixEvacuation + "b")
		f.read()
		f.checkUsed("withdrawn again", "x", "y")
		f.restore(old)
		f.wait(rewriteBound / 2)
		f.store.put(prefixEvacuation+"b", nil)
		f.read()
		assert.DeepEqual(t, f.used(), []string{"x"})
	})
}

// An entry that starts reads its first copy while its control runs. That is no restore, whatever
// the era.
func TestEvacuationHoldsFromTheFirstCopyOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newUnreadRestoreTest(t)
		f.store.put(prefixEvacuation+"b", nil)
		f.store.restore(f.store.snapshot()) // begins an era
		f.run()
		f.read()
		f.checkUsed("first copy", "x")
	})
}

// A target was silent, and its entry had expired when the store was restored from a copy that has
// it. It lives: the store does not remove the entry. Heartbeats alone change no entry.
func TestExpiredTargetThatLivesIsUsedAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestoreTest(t)
		old := f.store.snapshot()
		f.store.remove(prefixTarget + "y")
		f.read()
		f.wait(4 * time.Second)
		f.restore(old)
		f.wait(restoredExpiry + time.Second)
		assert.DeepEqual(t, f.used(), []string{"x", "y"})
	})
}

// withoutServices decodes one version of the configuration as having no services.
type withoutServices struct {
	storeDecoder
	version int64
}

func (d withoutServices) Config(i mirror.Item) (*fleet.Config, error) {
	c, err := d.storeDecoder.Config(i)
	if c != nil && c.Version == d.version {
		c.Services = map[string]*fleet.Service{}
	}
	return c, err
}

// Guards against a foreign entry under a target's key that outdates the target's own for good.
func TestForeignEntryOfLatestHeartbeatDoesNotOutliveARestore(t *testing.T) {
	for name, change := range map[string]func(*storedTarget){
		"heartbeat": func(v *storedTarget) { v.Beat = 1 << 53 },
		"start":     func(v *storedTarget) { v.StartMs = 4e12 },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRestoreTest(t)
				old := f.store.snapshot()
				f.putTarget("y", "b", func(v *storedTarget) { v.Addr = "elsewhere.example:80"; change(v) })
				f.read()
				f.restore(old)
				f.wait(restoredExpiry + time.Second)
				addrs := map[string]string{}
				for _, i := range f.control.list {
					addrs[i.ID] = i.Addr
				}
				assert.DeepEqual(t, addrs, map[string]string{"x": "x.example:80", "y": "y.example:80"})
				f.checkUsed("once the store has long listed the target's own entry", "x", "y")
			})
		})
	}
}

// Targets of a service that a configuration drops have not left.
func TestTargetsOfAServiceThatIsAddedAgainAreUsedAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestoreTest(t)
		f.control.decoder = withoutServices{f.control.decoder.(storeDecoder), 2}
		f.store.put(keyTestConfig, 2)
		f.read()
		f.wait(5 * time.Second)
		f.restore(f.store.snapshot())
		f.wait(time.Second)
		f.store.put(keyTestConfig, 3)
		f.read()
		assert.DeepEqual(t, f.used(), []string{"x", "y"})
	})
}

// An entry that started between a restore and the second writing reads the copy of a peer, in
// which what was written again has the revision of an earlier era.
func TestConfigurationOfAnEarlierEraIsApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newUnreadRestoreTest(t)
		old := f.store.snapshot()
		f.store.put(keyTestConfig, 4)
		f.store.put(keyTestVersion, 2)
		peerCopy := mirror.NewTable("")
		peerCopy.Replace(time.Now(), f.store.snapshot())
		f.store.restore(old)
		f.read()
		f.run()
		assert.Equal(t, f.gateway.Config().Version, int64(1))
		f.store.put(keyTestConfig, 4)
		f.store.put(keyTestVersion, 2)
		peerCopy.Replace(time.Now(), f.store.snapshot())
		whole, err := peerCopy.Range(time.Now())
		assert.NilError(t, err)
		f.table.Replace(time.Now(), whole)
		synctest.Wait()
		assert.Equal(t, f.gateway.Config().Version, int64(4))
		assert.Equal(t, f.control.versions["m"], 2)
	})
}
