package soak

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/springgate/springgate/platform/fake"
)

// Facts is what the store and the targets recorded. Times are relative to the start of the
// run, on the monotonic clock of this process.
type Facts struct {
	Runs            map[string][]string        // target incarnations that ran each request
	Reached         map[string][]string        // target incarnations that each request reached, whether it ran or not
	Configs         map[int]Write              // by number of the configuration, which accepts only the rotating key of the same number
	Leaving         map[string]time.Duration   // when the store had marked a target incarnation as leaving or removed it
	Crashes         map[string][]time.Duration // when targets crashed while running a request, by request body
	SchedulingDelay map[string]time.Duration   // by how much targets were late with each request because this process waited for CPU
	BadTokens       map[string]int             // tokens of each request that were made with weights that were not whole
	Limits          []LimitSpan
	// Arrivals are the requests that reached each target incarnation, in order.
	Arrivals map[string][]Arrival
	Backoffs map[string][]Backoff // by the target incarnation that requested them
	Restores []Restore            // of the store
}

// Arrival is when a request reached a target.
type Arrival struct {
	Request string
	At      time.Duration
}

// Write is when a write to the store began and when it was done.
type Write struct{ Began, Done time.Duration }

// factRecorder collects facts during a run.
type factRecorder struct {
	start time.Time

	mu       sync.Mutex
	configs  map[int]Write
	leaving  map[string]time.Duration
	limits   []LimitSpan
	restores []Restore
	bulk     []period // when the bulk team sent
}

func newFactRecorder() *factRecorder {
	return &factRecorder{start: time.Now(), configs: map[int]Write{}, leaving: map[string]time.Duration{}}
}

// elapsed returns the time since the start of the run.
func (r *factRecorder) elapsed() time.Duration { return time.Since(r.start) }

// recordWrite executes the write of a configuration and records when it began and was
// done.
func (r *factRecorder) recordWrite(config int, put func()) {
	w := Write{Began: r.elapsed()}
	put()
	w.Done = r.elapsed()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.configs[config] = w
}

// recordLeaving records that the store has marked a target incarnation as leaving or
// removed it.
func (r *factRecorder) recordLeaving(incarnation string) {
	at := r.elapsed()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving[incarnation] = at
}

// facts returns what was recorded, together with what targets recorded of the requests.
func (r *factRecorder) facts(requestLog *fake.RequestLog) Facts {
	r.mu.Lock()
	defer r.mu.Unlock()
	crashes := map[string][]time.Duration{}
	for body, list := range requestLog.Crashes() {
		for _, c := range list {
			crashes[body] = append(crashes[body], c.At.Sub(r.start))
		}
	}
	arrivals := map[string][]Arrival{}
	for _, a := range requestLog.Arrivals() {
		arrivals[a.Incarnation] = append(arrivals[a.Incarnation], Arrival{a.Request, a.At.Sub(r.start)})
	}
	backoffs := map[string][]Backoff{}
	for _, x := range requestLog.Backoffs() {
		backoffs[x.Incarnation] = append(backoffs[x.Incarnation], Backoff{x.Request, x.At.Sub(r.start), x.Duration})
	}
	return Facts{BadTokens: requestLog.BadTokens(), Restores: slices.Clone(r.restores), Backoffs: backoffs, Limits: slices.Clone(r.limits), Arrivals: arrivals, Runs: requestLog.AllExecutions(), Reached: requestLog.Reached(), Configs: maps.Clone(r.configs), Leaving: maps.Clone(r.leaving), Crashes: crashes, SchedulingDelay: requestLog.Delays()}
}

// leavingSince returns the earliest time at which one of the target incarnations that a
// request reached was marked as leaving or removed.
func (f Facts) leavingSince(id string) (time.Duration, bool) {
	var since []time.Duration
	for _, incarnation := range slices.Concat(f.Reached[id], f.Runs[id]) {
		if at, ok := f.Leaving[incarnation]; ok {
			since = append(since, at)
		}
	}
	if len(since) == 0 {
		return 0, false
	}
	return slices.Min(since), true
}
