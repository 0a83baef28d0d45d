package overload

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	testService = "svc"
	simTick     = 2 * time.Millisecond
	simReports  = 500 * time.Millisecond
	simUsage    = 100 * time.Millisecond
	meanWork    = 0.1         // seconds
	minReturn   = time.Second // after a refusal
	maxReturn   = 2 * time.Second
)

var simStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// callers are the callers of one class.
type callers struct {
	class     Class
	perSecond float64
	work      float64                                // mean seconds; default meanWork
	entry     int                                    // entry that half of the requests reach; -1 for all alike
	factor    func(sinceStart time.Duration) float64 // of perSecond; default 1
	atOnce    bool                                   // refused callers return at once, twice, and are not recognized
	next      time.Time
}

type simRequest struct {
	caller  int
	entry   int
	arrived time.Time
	Request
	retries int
	waitEnd time.Time
	done    time.Time
}

// reserve returns how many slots a request leaves free: returning callers leave one in eight, as in
// package dispatch.
func (r *simRequest) reserve(slots int) int {
	if r.Standing == Returned {
		return slots / 8
	}
	return 0
}

// unplaced returns the request as recorded after it has waited in vain.
func (r *simRequest) unplaced(wait time.Duration) Request {
	r.Waited = wait
	return r.Request
}

type simTally struct{ arrived, served int }

// fleet simulates a service with a number of slots and several entries in virtual time. Admitted
// requests are placed in the order of arrival.
type fleet struct {
	entries []*Controller // nil: admits all requests and reports nothing
	dead    map[int]bool
	unheard map[int]bool // neither sends nor receives reports
	callers []callers
	slots   func(sinceStart time.Duration) int
	wait    time.Duration // longest wait of an admitted request for a place
	blind   bool          // utilization is not known
	byRank  bool          // admitted requests are placed in the order of rank

	rng            *rand.Rand
	now            time.Time
	waiting        []*simRequest
	running        []*simRequest
	returns        map[time.Time][]*simRequest
	from           time.Duration // requests that arrive before are not counted
	tallies        []simTally    // by callers
	admitted       int           // since from
	unplaced       int           // since from
	busy, capacity float64       // slots times ticks in use, and in all, since from
	onTick         func(sinceStart time.Duration)
}

func newFleet(seed uint64, entries, slots int, list ...callers) *fleet {
	f := &fleet{wait: 100 * time.Millisecond, callers: slices.Clone(list), slots: func(time.Duration) int { return slots }, rng: rand.New(rand.NewPCG(seed, 1)),
		now: simStart, dead: map[int]bool{}, unheard: map[int]bool{}, returns: map[time.Time][]*simRequest{},
		tallies: make([]simTally, len(list)), onTick: func(time.Duration) {}}
	for range entries {
		f.entries = append(f.entries, NewController(Config{}))
	}
	return f
}

func (f *fleet) since() time.Duration { return f.now.Sub(simStart) }

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(simTick) {
		f.onTick(f.since())
		f.finish()
		f.place()
		for i, first := 0, f.rng.IntN(len(f.callers)); i < len(f.callers); i++ {
			f.arrivals((first + i) % len(f.callers))
		}
		for _, r := range f.returns[f.now] {
			f.offer(r)
		}
		delete(f.returns, f.now)
		f.place()
		f.exchange()
		if f.since() >= f.from {
			f.busy += float64(min(len(f.running), f.slots(f.since())))
			f.capacity += float64(f.slots(f.since()))
		}
	}
}

func (f *fleet) arrivals(i int) {
	c := &f.callers[i]
	rate := c.perSecond
	if c.factor != nil {
		rate *= c.factor(f.since())
	}
	if rate <= 0 {
		c.next = time.Time{}
		return
	}
	if c.next.IsZero() {
		c.next = f.now.Add(f.exp(1 / rate))
	}
	for ; !c.next.After(f.now); c.next = c.next.Add(f.exp(1 / rate)) {
		work := c.work
		if work == 0 {
			work = meanWork
		}
		r := &simRequest{caller: i, entry: f.pickEntry(c.entry), arrived: f.now,
			Request: Request{Service: testService, Class: c.class, Work: max(work*(0.5+f.rng.Float64()), 0.001)}}
		if f.since() >= f.from {
			f.tallies[i].arrived++
		}
		f.offer(r)
	}
}

func (f *fleet) exp(mean float64) time.Duration {
	return time.Duration(f.rng.ExpFloat64() * mean * float64(time.Second))
}

func (f *fleet) pickEntry(home int) int {
	if home >= 0 && f.rng.IntN(2) == 0 && !f.dead[home] {
		return home
	}
	for {
		if e := f.rng.IntN(len(f.entries)); !f.dead[e] {
			return e
		}
	}
}

func (f *fleet) offer(r *simRequest) {
	if c := f.entries[r.entry]; c != nil && !c.Admit(f.now, r.Request).Admitted {
		f.refused(r)
		return
	}
	if f.since() >= f.from {
		f.admitted++
	}
	r.waitEnd = f.now.Add(f.wait)
	f.waiting = append(f.waiting, r)
}

// refused lets a caller return: at once, unrecognized, or after 1 to 2 s.
func (f *fleet) refused(r *simRequest) {
	delay := minReturn + time.Duration(f.rng.Float64()*float64(maxReturn-minReturn))
	limit, standing := 1, Returned
	if f.callers[r.caller].atOnce {
		delay, limit, standing = 20*time.Millisecond, 2, Fresh
	}
	if r.retries >= limit {
		return
	}
	r.retries++
	r.Standing = standing
	r.entry = f.pickEntry(-1)
	at := f.now.Add(delay.Truncate(simTick))
	f.returns[at] = append(f.returns[at], r)
}

func (f *fleet) place() {
	if f.byRank {
		slices.SortStableFunc(f.waiting, func(a, b *simRequest) int { return a.Class.Rank - b.Class.Rank })
	}
	left := f.waiting[:0]
	free := f.slots(f.since()) - len(f.running)
	for _, r := range f.waiting {
		c := f.entries[r.entry]
		switch {
		case f.dead[r.entry]:
		case free > r.reserve(f.slots(f.since())):
			free--
			r.done = f.now.Add(time.Duration(r.Work * float64(time.Second)))
			f.running = append(f.running, r)
			if c != nil {
				c.RecordPlaced(f.now, r.Request)
			}
			if r.Standing == Fresh && r.arrived.Sub(simStart) >= f.from {
				f.tallies[r.caller].served++
			}
		case !f.now.Before(r.waitEnd):
			if c != nil {
				c.RecordUnplaced(f.now, r.unplaced(f.wait))
			}
			if f.since() >= f.from {
				f.unplaced++
			}
			f.refused(r)
		default:
			left = append(left, r)
		}
	}
	f.waiting = left
}

func (f *fleet) finish() {
	left := f.running[:0]
	for _, r := range f.running {
		if r.done.After(f.now) {
			left = append(left, r)
		}
	}
	f.running = left
}

// exchange sends reports, each entry at its own time, and tells all what is in use.
func (f *fleet) exchange() {
	for i, c := range f.entries {
		if c == nil || f.dead[i] {
			continue
		}
		phase := time.Duration(i) * simReports / time.Duration(len(f.entries)) / simTick * simTick
		if f.since()%simReports == phase && !f.unheard[i] {
			f.send(i, c.Reports(f.now))
		}
		if f.since()%simUsage == 0 && !f.blind {
			slots := f.slots(f.since())
			c.SetUtilization(f.now, testService, min(float64(len(f.running))/float64(max(slots, 1)), 1))
		}
	}
}

func (f *fleet) send(from int, reports map[string]Report) {
	for j, c := range f.entries {
		if j != from && c != nil && !f.dead[j] && !f.unheard[j] {
			c.SetReports(f.now, fmt.Sprint("entry-", from), reports)
		}
	}
}

// measure starts counting anew.
func (f *fleet) measure() {
	f.from = f.since()
	f.tallies = make([]simTally, len(f.callers))
	f.admitted, f.unplaced, f.busy, f.capacity = 0, 0, 0, 0
}

// window runs the fleet for d and counts only the requests that arrive in it.
func (f *fleet) window(d time.Duration) {
	f.measure()
	f.run(d)
}

// utilization returns the part of the slots that were in use since measure.
func (f *fleet) utilization() float64 {
	return f.busy / max(f.capacity, 1)
}

// served returns the part of the callers' requests that were placed in time.
func (f *fleet) served(i int) float64 {
	return float64(f.tallies[i].served) / float64(max(f.tallies[i].arrived, 1))
}

// servedAll returns the same of several callers together.
func (f *fleet) servedAll(from, to int) float64 {
	var sum simTally
	for _, t := range f.tallies[from:to] {
		sum.arrived += t.arrived
		sum.served += t.served
	}
	return float64(sum.served) / float64(max(sum.arrived, 1))
}

// limited returns how many entries hold a level.
func (f *fleet) limited() (n int) {
	for i, c := range f.entries {
		if c != nil && !f.dead[i] && len(c.Levels(f.now)) > 0 {
			n++
		}
	}
	return n
}
