package soak

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/springgate/springgate/platform/fake"
)

// Facts are what the store and the targets know. Times are since the start of
// the run, on the monotonic clock of this process.
type Facts struct {
	Runs    map[string][]string        // instances that ran each request
	Reached map[string][]string        // instances that each request reached, whether it ran or not
	Configs map[int]Write              // each configuration, which allows the rotating key of its number only
	Leaving map[string]time.Duration   // when the store had the entry in which an instance leaves
	Crashes map[string][]time.Duration // when targets ended under a request, by its body
	SchedulingDelay    map[string]time.Duration   // by how much targets were later with each request than they were to be
	Limits  []LimitSpan
	// Arrivals are the requests that reached each life of a target, in order.
	Arrivals map[string][]Arrival
	Backoffs    map[string][]Backoff // that each life of a target asked for
}

// Arrival is when a request reached a target.
type Arrival struct {
	Request string
	At      time.Duration
}

// Write is when a write to the store began and was done.
type Write struct{ Began, Done time.Duration }

// notes gathers facts.
type notes struct {
	start time.Time

	mu      sync.Mutex
	configs map[int]Write
	leaving map[string]time.Duration
	limits  []LimitSpan
}

func newNotes() *notes {
	return &notes{start: time.Now(), configs: map[int]Write{}, leaving: map[string]time.Duration{}}
}

// now returns the time since the start of the run.
func (n *notes) now() time.Duration { return time.Since(n.start) }

// write does a write of a configuration and notes its times.
func (n *notes) write(config int, do func()) {
	w := Write{Began: n.now()}
	do()
	w.Done = n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.configs[config] = w
}

// leaves notes that the store has the entry in which an instance leaves.
func (n *notes) leaves(instance string) {
	at := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving[instance] = at
}

// facts returns what was noted, with what targets saw of the requests.
func (n *notes) facts(runs *fake.Runs) Facts {
	n.mu.Lock()
	defer n.mu.Unlock()
	crashes := map[string][]time.Duration{}
	for body, list := range runs.Crashes() {
		for _, c := range list {
			crashes[body] = append(crashes[body], c.At.Sub(n.start))
		}
	}
	arrivals := map[string][]Arrival{}
	for _, a := range runs.Arrivals() {
		arrivals[a.Life] = append(arrivals[a.Life], Arrival{a.Request, a.At.Sub(n.start)})
	}
	rests := map[string][]Backoff{}
	for _, x := range runs.Rests() {
		rests[x.Life] = append(rests[x.Life], Backoff{x.Request, x.At.Sub(n.start), x.Rest})
	}
	return Facts{Backoffs: rests, Limits: slices.Clone(n.limits), Arrivals: arrivals, Runs: runs.All(), Reached: runs.Reached(), Configs: maps.Clone(n.configs), Leaving: maps.Clone(n.leaving), Crashes: crashes, SchedulingDelay: runs.Late()}
}

// leavingSince returns the first time since when one of the instances that a request
// reached was leaving.
func (f Facts) leavingSince(id string) (time.Duration, bool) {
	var since []time.Duration
	for _, instance := range slices.Concat(f.Reached[id], f.Runs[id]) {
		if at, ok := f.Leaving[instance]; ok {
			since = append(since, at)
		}
	}
	if len(since) == 0 {
		return 0, false
	}
	return slices.Min(since), true
}
