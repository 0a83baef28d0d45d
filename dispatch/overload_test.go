package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/springgate/springgate/fleet"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// callerKind describes the callers of one route in a simulated fleet.
type callerKind struct {
	objective time.Duration
	prompt    int // mean tokens
	answer    int // mean tokens
	perSecond float64
}

// job is a request in a simulated fleet.
type job struct {
	kind           int
	arrived        time.Time // first attempt
	demand         Demand
	remaining      int // tokens of the response still to be decoded
	pendingPrefill int
	retried        int
	target         *Target
	entry          int       // which entry serves it, if there are several
	until          time.Time // when the caller gives up
	choice         Choice
	sentAt         time.Time
	eventAt        time.Time // last event
	pending        Pending   // at the target after the last event
	stalled        bool      // a gap between events was longer than allowed
}

// tally counts the requests of one kind that arrived in a window.
type tally struct{ arrived, inTime int }

func (t tally) share() float64 { return float64(t.inTime) / float64(max(t.arrived, 1)) }

// placer places the requests of a simulated fleet.
type placer interface {
	place(now time.Time, j *job) bool     // sets j.target
	answering(now time.Time, j *job)      // the first event of a request
	finished(now time.Time, j *job)       // the last one
	refused(now time.Time, demand Demand) // no target could be found
}

// oneEntry places all requests at one entry.
type oneEntry struct{ balancer *Balancer }

func (o oneEntry) place(now time.Time, j *job) bool {
	o.balancer.RecordArrival(now, testService, j.demand)
	c, v := o.balancer.Pick(now, testService, j.demand, nil)
	j.target, j.choice, j.sentAt = c.Target, c, now
	return v == Chosen
}

func (o oneEntry) answering(now time.Time, j *job) {
	o.balancer.RecordActivity(now, j.target, j.pendingPrefill)
}

func (o oneEntry) finished(now time.Time, j *job) {
	o.balancer.Finish(now, j.target, Result{Latency: time.Second})
}

func (o oneEntry) refused(now time.Time, d Demand) { o.balancer.RecordRefusal(now, testService, d) }

// fleetSim simulates a fleet of model engines behind one entry in virtual time. In each pass an
// engine prefills all new prompts and then decodes the tokens of one pass for each running
// request. Refused callers retry after 1 to 2 s.
type fleetSim struct {
	placer  placer
	model   *fleet.EngineModel
	rng     *rand.Rand
	kinds   []callerKind
	retries int
	// timeout draws a caller's timeout; if nil, refused callers retry after 1 to 2 s.
	timeout func(*rand.Rand) time.Duration
	// detector detects retries; if nil, the simulation knows which requests are retries.
	detector *RetryDetector
	maxGap   time.Duration               // longest gap between events that counts as in time; zero for no limit
	burst    func(now time.Time) float64 // factor applied to the arrival rate
	// slowdown is how many times as long an engine takes for its passes and for prompt tokens.
	slowdown func(now time.Time, engine string) (passes, prompts float64)

	now     time.Time
	events  map[time.Time][]func()
	engines map[string]*simEngine
	window  func(arrived time.Time) int
	tallies [][]tally // by window and kind
}

type simEngine struct {
	id             string
	queue, running []*job
	busy           bool
}

const simTick = time.Millisecond

func newFleetSim(seed uint64, engines int, kinds []callerKind) *fleetSim {
	m := engineModel()
	m.MeanPrompt, m.MeanAnswer = meanSizes(kinds)
	var list []*fleet.Instance
	s := &fleetSim{model: m, rng: rand.New(rand.NewPCG(seed, 1)), kinds: kinds, retries: 1, now: start,
		events: map[time.Time][]func(){}, engines: map[string]*simEngine{},
		slowdown: func(time.Time, string) (float64, float64) { return 1, 1 },
		burst:    func(time.Time) float64 { return 1 }, window: func(time.Time) int { return 0 }}
	for i := range engines {
		list = append(list, engine(i, 1))
		s.engines[list[i].ID] = &simEngine{id: list[i].ID}
	}
	s.placer = oneEntry{newTestBalancer(m, Config{}, list...)}
	return s
}

// meanSizes returns the mean request sizes, as operators publish them for a service.
func meanSizes(kinds []callerKind) (prompt, answer int) {
	var all, prompts, answers float64
	for _, k := range kinds {
		all += k.perSecond
		prompts += k.perSecond * float64(k.prompt)
		answers += k.perSecond * float64(k.answer)
	}
	return int(prompts / all), int(answers / all)
}

func (s *fleetSim) after(d time.Duration, f func()) {
	at := s.now.Add(max(d, simTick)).Truncate(simTick)
	s.events[at] = append(s.events[at], f)
}

func (s *fleetSim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(simTick) {
		for i, k := range s.kinds {
			for expected := k.perSecond * s.burst(s.now) * simTick.Seconds(); expected > 0; expected-- {
				if s.rng.Float64() < expected {
					s.arrive(i, k)
				}
			}
		}
		for _, f := range s.events[s.now] {
			f()
		}
		delete(s.events, s.now)
	}
}

func (s *fleetSim) arrive(kind int, k callerKind) {
	size := s.rng.ExpFloat64()
	d := Demand{Prompt: int(float64(k.prompt) * min(size, 3)), Objective: k.objective, MaxGap: s.maxGap, Domain: "a"}
	j := &job{kind: kind, arrived: s.now, demand: d, remaining: 1 + int(s.rng.ExpFloat64()*float64(k.answer))}
	if s.timeout != nil {
		j.until = s.now.Add(s.timeout(s.rng))
	}
	s.tally(j).arrived++
	s.offer(j)
}

func (s *fleetSim) tally(j *job) *tally {
	w := s.window(j.arrived)
	for len(s.tallies) <= w {
		s.tallies = append(s.tallies, make([]tally, len(s.kinds)))
	}
	return &s.tallies[w][j.kind]
}

func (s *fleetSim) offer(j *job) {
	if s.detector != nil {
		j.demand.Standing = Fresh
		if s.detector.IsRetry(testService, j.until.Sub(s.now)) {
			j.demand.Standing = Overdue
		}
	}
	if s.placer.place(s.now, j) {
		j.pendingPrefill = j.demand.Prompt
		e := s.engines[j.target.ID]
		e.queue = append(e.queue, j)
		s.pass(e)
		return
	}
	s.placer.refused(s.now, j.demand)
	if j.retried < s.retries {
		j.retried++
		j.demand.Standing = Overdue
		s.after(s.retryAfter(j), func() { s.offer(j) })
	}
}

func (s *fleetSim) retryAfter(j *job) time.Duration {
	if s.timeout == nil {
		return time.Second + time.Duration(s.rng.Int64N(int64(time.Second)))
	}
	return RetryAfter(j.until.Sub(s.now), 0, retryPart, retrySpread, s.rng.Float64())
}

// pass starts a pass of an engine that has work and is not in one.
func (s *fleetSim) pass(e *simEngine) {
	if e.busy || len(e.queue)+len(e.running) == 0 {
		return
	}
	e.busy = true
	n := min(s.model.Slots-len(e.running), len(e.queue))
	taken := e.queue[:n]
	e.queue = e.queue[n:]
	e.running = append(e.running, taken...)
	tokens := 0
	for _, j := range taken {
		tokens += j.pendingPrefill
	}
	passes, prompts := s.slowdown(s.now, e.id)
	took := prompts*float64(prefillTime(s.model, tokens)) + passes*float64(passTime(s.model, len(e.running)))
	s.after(time.Duration(took), func() { s.finishPass(e) })
}

func (s *fleetSim) finishPass(e *simEngine) {
	e.busy = false
	running := e.running[:0]
	for _, j := range e.running {
		s.recordGap(j)
		if o, ok := s.placer.(eventObserver); ok {
			o.event(s.now, j)
		} else if j.pendingPrefill > 0 {
			s.placer.answering(s.now, j)
		}
		if j.pendingPrefill > 0 {
			j.pendingPrefill = 0
			if s.now.Sub(j.arrived) <= j.demand.Objective {
				s.tally(j).inTime++
			}
		}
		j.eventAt = s.now
		if j.remaining -= s.model.StepsPerPass; j.remaining > 0 {
			running = append(running, j)
			continue
		}
		s.placer.finished(s.now, j)
	}
	e.running = running
	s.pass(e)
}

// eventObserver is a placer that is told of all events of streams instead of the first ones.
type eventObserver interface{ event(now time.Time, j *job) }

// recordGap counts a request that was in time as late if it has a gap that is too long.
func (s *fleetSim) recordGap(j *job) {
	if j.eventAt.IsZero() || j.demand.MaxGap == 0 || j.stalled || s.now.Sub(j.eventAt) <= j.demand.MaxGap {
		return
	}
	j.stalled = true
	if j.eventAt.Sub(j.arrived) <= j.demand.Objective {
		s.tally(j).inTime--
	}
}

// shares returns the fraction of requests in time in one window, by kind and overall.
func (s *fleetSim) shares(w int) (kinds []float64, all float64) {
	var sum tally
	for _, t := range s.tallies[w] {
		kinds = append(kinds, t.share())
		sum.arrived += t.arrived
		sum.inTime += t.inTime
	}
	return kinds, sum.share()
}

// TestNoKindIsStarved overloads a service with very different kinds of requests. The fraction of
// requests answered in time must be, for each kind, at least half of the fraction for all kinds.
func TestNoKindIsStarved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var kinds []callerKind
		n := rapid.IntRange(2, 4).Draw(t, "kinds")
		for range n {
			kinds = append(kinds, callerKind{objective: time.Duration(rapid.IntRange(250, 5000).Draw(t, "objective_ms")) * time.Millisecond,
				prompt: rapid.IntRange(100, 1500).Draw(t, "prompt"), answer: rapid.IntRange(30, 200).Draw(t, "answer"),
				perSecond: rapid.Float64Range(10, 60).Draw(t, "per_second")})
		}
		s := newFleetSim(rapid.Uint64().Draw(t, "seed"), 4, kinds)
		s.window = func(at time.Time) int { return min(int(at.Sub(start)/(4*time.Second)), 1) }
		s.run(16 * time.Second)
		shares, all := s.shares(1)
		for i, share := range shares {
			assert.Assert(t, share >= all/2, "kind %d: %.2f in time, overall %.2f", i, share, all)
		}
	})
}

// TestServiceRecoversAfterABurst checks that the fraction of requests answered in time is restored
// 2 s after the end of a burst, when the last refused caller has retried, however often callers
// retry. If retries took precedence, they would keep the fleet busy with late responses for as
// long as it is loaded.
func TestServiceRecoversAfterABurst(t *testing.T) {
	for _, retries := range []int{1, 3} {
		kinds := []callerKind{{400 * time.Millisecond, 1000, 90, 30}, {300 * time.Millisecond, 600, 60, 30}}
		s := newFleetSim(7, 6, kinds)
		s.retries = retries
		s.burst = func(now time.Time) float64 {
			if at := now.Sub(start); at >= 5*time.Second && at < 8*time.Second {
				return 3
			}
			return 1
		}
		s.window = func(at time.Time) int { return int(at.Sub(start) / time.Second) }
		s.run(16 * time.Second)
		_, before := s.shares(4)
		_, during := s.shares(7)
		assert.Assert(t, before > 0.95 && during < 0.8, "in time before the burst %.2f, during it %.2f", before, during)
		for w := 10; w < 14; w++ {
			_, after := s.shares(w)
			assert.Assert(t, after > 0.9*before, "%d retries: second %d: %.2f in time, before the burst %.2f", retries, w, after, before)
		}
	}
}

// retryPart and retrySpread are the gateway's defaults for the Retry-After of refused callers:
// the fraction of the time left after which they retry, and the largest random share by which
// it is reduced.
const retryPart, retrySpread = 1.0 / 3, 0.2

// TestDetectedRetriesPerformLikeKnownOnes simulates 1.35 times the capacity for 24 s, of which
// the last 20 s count, with callers that have different timeouts and retry once. With detected
// retries, at least 95% as many requests must be in time as with known retries, and the fraction
// in time of no kind may be less than 0.6 of the fraction of all kinds.
func TestDetectedRetriesPerformLikeKnownOnes(t *testing.T) {
	kinds := []callerKind{{400 * time.Millisecond, 1000, 90, 48}, {300 * time.Millisecond, 600, 60, 48}}
	simulate := func(seed uint64, detector *RetryDetector) (byKind []float64, all float64) {
		s := newFleetSim(seed, 6, kinds)
		s.timeout, s.detector = firstAttemptTime, detector
		s.window = func(at time.Time) int { return min(int(at.Sub(start)/(4*time.Second)), 1) }
		s.run(24 * time.Second)
		return s.shares(1)
	}
	for seed := range uint64(4) {
		_, known := simulate(seed, nil)
		kinds, detected := simulate(seed, NewRetryDetector(retryPart, retrySpread))
		assert.Assert(t, known < 0.9, "no overload: %.3f in time", known)
		assert.Assert(t, detected >= 0.95*known, "seed %d: %.3f in time, %.3f with known retries", seed, detected, known)
		for i, share := range kinds {
			assert.Assert(t, share >= 0.6*detected, "kind %d: %.3f in time, overall %.3f", i, share, detected)
		}
	}
}
