package quarantine

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// Verdict says whether a content may be sent.
type Verdict uint8

// Verdicts.
const (
	Send   Verdict = iota
	Probe          // quarantined, but may be sent once to find out whether it still crashes targets
	Refuse         // quarantined
)

// Tables with more contents than smallTableSize are evaluated at most once per
// evaluationInterval, because a full table takes 6 ms of CPU time.
const (
	smallTableSize     = 128
	evaluationInterval = 50 * time.Millisecond
)

// Judge decides whether a content may be sent, and returns the finding on one that is
// quarantined. home reports whether this entry is the one that probes the content. After Judge
// has returned Probe, it returns Refuse until the outcome of the probe is known or the probe
// delay has passed again.
func (t *Table) Judge(now time.Time, f Fingerprint, home func() bool) (Verdict, Finding) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[f]
	if r == nil || len(r.crashes) < crashThreshold { // saves the evaluation: most suspects are bystanders
		return Send, Finding{}
	}
	if t.stale && (len(t.records) <= smallTableSize || now.Sub(t.evaluatedAt) >= evaluationInterval) {
		t.findings, t.stale, t.evaluatedAt = evaluate(t.records), false, now
	}
	finding, found := t.findings[f]
	if !found {
		return Send, Finding{}
	}
	if probeAt := later(finding.ProbeAt, r.lastProbe.Add(probeDelay(finding.Crashes))); now.Before(probeAt) || !home() {
		return Refuse, finding
	}
	r.lastProbe = now
	return Probe, finding
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// suspect is a content with its active crashes.
type suspect struct {
	content   Fingerprint
	crashes   []Crash // by time
	succeeded bool    // at least once
}

// inFlightAt reports whether the content was in flight when the incarnation ended.
func (s *suspect) inFlightAt(inc Incarnation) bool {
	return slices.ContainsFunc(s.crashes, func(c Crash) bool { return c.Incarnation == inc })
}

// evaluation is the state of one evaluation of all records.
type evaluation struct {
	suspects  []*suspect // by descending number of crashes
	inFlight  map[Incarnation][]*suspect
	crashes   []Crash              // one per incarnation, by time
	explained map[Incarnation]bool // crashes attributed to a content that has been found to be a cause
}

// evaluate returns the findings on the contents to quarantine. Contents with the most
// crashes are examined first; the crashes of a content found to be a cause do not count
// against the contents examined after it.
func evaluate(records map[Fingerprint]*record) map[Fingerprint]Finding {
	e := newEvaluation(records)
	out := map[Fingerprint]Finding{}
	for _, s := range e.suspects {
		if !e.isCause(s) {
			continue
		}
		for _, c := range s.crashes {
			e.explained[c.Incarnation] = true
		}
		out[s.content] = newFinding(s.crashes)
	}
	return out
}

func newEvaluation(records map[Fingerprint]*record) *evaluation {
	e := &evaluation{inFlight: map[Incarnation][]*suspect{}, explained: map[Incarnation]bool{}}
	for f, r := range records {
		active := r.activeCrashes()
		if len(active) == 0 {
			continue
		}
		s := &suspect{f, active, !r.lastSuccess.value.IsZero()}
		e.suspects = append(e.suspects, s)
		for _, c := range active {
			if e.inFlight[c.Incarnation] == nil {
				e.crashes = append(e.crashes, c)
			}
			e.inFlight[c.Incarnation] = append(e.inFlight[c.Incarnation], s)
		}
	}
	slices.SortFunc(e.suspects, func(a, b *suspect) int {
		return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), bytes.Compare(a.content[:], b.content[:]))
	})
	slices.SortFunc(e.crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
	return e
}

// isCause reports whether a content is considered the cause of its crashes, based on the
// crashes that no other content explains.
func (e *evaluation) isCause(s *suspect) bool {
	unexplained := slices.DeleteFunc(slices.Clone(s.crashes), func(c Crash) bool { return e.explained[c.Incarnation] })
	switch {
	case len(unexplained) < crashThreshold:
		return false
	case len(unexplained) == crashThreshold && slices.ContainsFunc(unexplained, func(c Crash) bool { return e.hasRival(s, c.Incarnation) }):
		return false
	case s.succeeded:
		return len(groupByTime(unexplained)) >= recentSuccessThreshold
	}
	n := e.weightedCount(s, unexplained)
	return n >= ambiguousThreshold || n >= crashThreshold && !e.isAmbiguous(s, unexplained)
}

// hasRival reports whether another content that was in flight when the incarnation ended
// also has an unexplained crash on another incarnation. Where several causes are active at
// once, a bystander at one crash of each reaches three crashes before any of the causes
// does: in 600 simulated storms of three causes one bystander was quarantined without this
// check and none with it, at the same number of crashes.
func (e *evaluation) hasRival(s *suspect, inc Incarnation) bool {
	return slices.ContainsFunc(e.inFlight[inc], func(o *suspect) bool {
		return o != s && !o.succeeded && slices.ContainsFunc(o.crashes, func(c Crash) bool {
			return !e.explained[c.Incarnation] && !s.inFlightAt(c.Incarnation)
		})
	})
}

// weightedCount counts the unexplained crashes of a content; a group of them within
// correlationWindow that coincides with many crashes of other targets counts once.
func (e *evaluation) weightedCount(s *suspect, unexplained []Crash) int {
	n := 0
	for _, g := range groupByTime(unexplained) {
		if e.otherCrashes(s, g) >= correlationFactor*len(g) {
			n++
		} else {
			n += len(g)
		}
	}
	return n
}

// groupByTime groups crashes, which must be sorted by time, by correlationWindow.
func groupByTime(crashes []Crash) [][]Crash {
	var out [][]Crash
	for i, c := range crashes {
		if i > 0 && c.At.Sub(out[len(out)-1][0].At) < correlationWindow {
			out[len(out)-1] = append(out[len(out)-1], c)
			continue
		}
		out = append(out, []Crash{c})
	}
	return out
}

// otherCrashes counts the unexplained crashes around the time of a group at which the
// content was not in flight.
func (e *evaluation) otherCrashes(s *suspect, group []Crash) (n int) {
	from, to := group[0].At.Add(-correlationWindow), group[len(group)-1].At.Add(correlationWindow)
	i, _ := slices.BinarySearchFunc(e.crashes, from, func(c Crash, t time.Time) int { return c.At.Compare(t) })
	for ; i < len(e.crashes) && !e.crashes[i].At.After(to); i++ {
		if inc := e.crashes[i].Incarnation; !e.explained[inc] && !s.inFlightAt(inc) {
			n++
		}
	}
	return n
}

// isAmbiguous reports whether another content with at least as many crashes may have caused
// so many of the unexplained crashes of s that fewer than crashThreshold remain.
func (e *evaluation) isAmbiguous(s *suspect, unexplained []Crash) bool {
	shared := map[*suspect]int{}
	for _, c := range unexplained {
		for _, o := range e.inFlight[c.Incarnation] {
			shared[o]++
		}
	}
	for o, n := range shared {
		if o != s && !o.succeeded && len(o.crashes) >= len(s.crashes) && len(unexplained)-n < crashThreshold {
			return true
		}
	}
	return false
}

func newFinding(crashes []Crash) Finding {
	f := Finding{Crashes: len(crashes), First: crashes[0].At, Last: crashes[len(crashes)-1].At}
	for _, c := range crashes {
		if !slices.Contains(f.Reporters, c.Reporter) {
			f.Reporters = append(f.Reporters, c.Reporter)
		}
	}
	f.ProbeAt = f.Last.Add(probeDelay(f.Crashes))
	return f
}
