package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/springgate/springgate/fleet"
	"gotest.tools/v3/assert"
)

// Constants of manyEntries.
const (
	accountInterval = 100 * time.Millisecond // between two reports of an entry to the homes
	homesAsked      = 6                      // for one request
)

// manyEntries places requests at entries that know only their own requests and what homes tell
// them. One balancer stands for all homes: each target has one.
type manyEntries struct {
	sim     *fleetSim
	entries []*Balancer
	home    *Balancer
	denied  int
}

func newManyEntries(s *fleetSim, entries, engines int) *manyEntries {
	m := &manyEntries{sim: s}
	var list []*fleet.Instance
	for i := range engines {
		list = append(list, engine(i, 1))
	}
	services := map[string]*fleet.Service{testService: {Name: testService, Engine: s.model}}
	for i := range entries + 1 {
		b := NewBalancer(Config{}, rand.New(rand.NewPCG(uint64(i), 2)))
		b.Apply(list, services)
		m.entries = append(m.entries, b)
	}
	m.home, m.entries = m.entries[entries], m.entries[:entries]
	s.placer = m
	return m
}

func (m *manyEntries) place(now time.Time, j *job) bool {
	j.entry = m.sim.rng.IntN(len(m.entries))
	b := m.entries[j.entry]
	b.RecordArrival(now, testService, j.demand)
	for range homesAsked {
		c, v := b.Pick(now, testService, j.demand, nil)
		if v != Chosen {
			return false
		}
		r := m.home.Reserve(now, fmt.Sprint(j.entry), c.Target.ID, j.demand.Prompt, c.Admission)
		b.SetHomeLoad(now, c.Target.ID, r.Others)
		if r.Granted {
			j.target = c.Target
			return true
		}
		m.denied++
		b.Cancel(c.Target, j.demand)
	}
	return false
}

func (m *manyEntries) answering(now time.Time, j *job) {
	m.entries[j.entry].RecordActivity(now, j.target, j.pendingPrefill)
	m.report(j)
}

func (m *manyEntries) finished(now time.Time, j *job) {
	m.entries[j.entry].Finish(now, j.target, Result{Latency: time.Second})
	m.report(j)
}

// report tells the home the load of an entry at a target with the entry's next report.
func (m *manyEntries) report(j *job) {
	entry, target := j.entry, j.target
	m.sim.after(time.Duration(m.sim.rng.Int64N(int64(accountInterval))), func() {
		m.home.UpdateLoads(fmt.Sprint(entry), map[string]Load{target.ID: target.own})
	})
}

func (m *manyEntries) refused(now time.Time, d Demand) {
	for _, b := range m.entries {
		b.RecordRefusal(now, testService, d)
	}
}

// Callers of many entries, which know of each other's requests only what the homes of targets
// tell, get as much in time as those of one entry that knows all, below and above the capacity.
func TestHomesAloneSuffice(t *testing.T) {
	kinds := []callerKind{{objective: 800 * time.Millisecond, prompt: 1290, answer: 75}, {objective: 500 * time.Millisecond, prompt: 607, answer: 70}}
	const perEngine = 17.0 // requests a second of both kinds that an engine bears
	for _, size := range []struct{ engines, entries int }{{12, 6}, {60, 30}, {204, 90}} {
		for _, load := range []float64{0.5, 1, 1.3} {
			inTime := func(many bool) (share float64, denied int) {
				rates := append([]callerKind(nil), kinds...)
				for i := range rates {
					rates[i].perSecond = load * perEngine * float64(size.engines) / float64(len(kinds))
				}
				s := newFleetSim(3, size.engines, rates)
				var m *manyEntries
				if many {
					m = newManyEntries(s, size.entries, size.engines)
				}
				s.run(4 * time.Second)
				_, share = s.shares(0)
				if m != nil {
					denied = m.denied
				}
				return share, denied
			}
			one, _ := inTime(false)
			many, denied := inTime(true)
			t.Logf("%d engines, %d entries, load %.1f: %.3f in time, %.3f with one entry; %d denied", size.engines, size.entries, load, many, one, denied)
			assert.Assert(t, many >= 0.95*one, "%d engines, load %.1f: %.3f in time, %.3f with one entry", size.engines, load, many, one)
		}
	}
}
