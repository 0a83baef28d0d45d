package quarantine

import (
	"maps"
	"math"
	"slices"
	"time"
)

// certainty is the evidence, a natural logarithm, from which requests are refused for good: among the
// thousand subjects that may be in flight at crashes in a few minutes, chance leads to it less than once in a
// hundred times. With less, requests are held back until a probe decides.
const certainty = 11.5

const (
	// chanceWindow is the time before a subject's first crash in which crashes count for the rate of
	// chance crashes.
	chanceWindow = 5 * time.Second
	// leastRun is the least time that a request counts as in flight at a crash: connections and
	// clocks tell no finer.
	leastRun = 10 * time.Millisecond
)

// chanceModel tells how likely it is that crashes of targets hit a subject by chance: all targets
// crash at the same rate whatever they run, which is that of the crashes at which the subject was not in
// flight, and one more. It compares this with the best explanation by the subject, that it crashes targets at
// the rate seen while it was in flight.
type chanceModel struct {
	targets float64
	ends    []time.Time // of all targets that crashed, in order
}

func newChanceModel(records map[Fingerprint]*record, targets int) chanceModel {
	ends := map[Incarnation]time.Time{}
	for _, r := range records {
		for _, c := range r.crashes {
			if !c.value.Retracted {
				ends[c.value.Incarnation] = c.value.At
			}
		}
	}
	return chanceModel{targets: float64(max(targets, 1)), ends: slices.SortedFunc(maps.Values(ends), time.Time.Compare)}
}

// evidence returns the logarithm of the likelihood ratio for the crashes of a subject, which are in order of
// time.
func (m chanceModel) evidence(crashes []Crash) float64 {
	if len(crashes) == 0 {
		return 0
	}
	return poissonEvidence(moments(crashes), m.expected(crashes))
}

// expected returns how many chance crashes the subject would have met in the time that it was in flight.
func (m chanceModel) expected(crashes []Crash) float64 {
	from, to := crashes[0].At.Add(-chanceWindow), crashes[len(crashes)-1].At
	var inFlight time.Duration
	reporters := map[string]bool{}
	for _, c := range crashes {
		inFlight += max(c.InFlight, leastRun)
		reporters[c.Reporter] = true
	}
	// Each crash tells the time in flight at one entry. Those that saw crashes have about the same.
	inFlight *= time.Duration(len(reporters))
	others := max(m.endsBefore(to.Add(1))-m.endsBefore(from)-len(crashes), 0)
	rate := float64(others+1) / (m.targets * to.Sub(from).Seconds())
	return rate * inFlight.Seconds()
}

// endsBefore returns how many targets crashed before a time.
func (m chanceModel) endsBefore(at time.Time) int {
	n, _ := slices.BinarySearchFunc(m.ends, at, time.Time.Compare)
	return n
}

// moments counts the crashes that cannot have had one cause from outside: those at different times, and those
// of requests that were sent only after the crash before.
func moments(crashes []Crash) (n int) {
	var first, last time.Time
	for i, c := range crashes {
		if i == 0 || c.At.Sub(first) >= correlationWindow || c.At.Add(-c.InFlight).After(last) {
			n++
			first = c.At
		}
		last = c.At
	}
	return n
}

// poissonEvidence returns the logarithm of the likelihood ratio between the rate seen and the one expected, for
// n events where some number of them was expected; 0 if no more were seen.
func poissonEvidence(n int, expected float64) float64 {
	if float64(n) <= expected {
		return 0
	}
	return float64(n)*math.Log(float64(n)/expected) - float64(n) + expected
}
