package quarantine

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"
)

// Verdict says whether a content may be sent.
type Verdict uint8

// Verdicts.
const (
	Send   Verdict = iota
	Probe          // quarantined, but may be sent once to find out whether it still crashes targets
	Hold           // suspected: may be sent later, if a probe shows that it crashes no targets
	Refuse         // quarantined for good
)

// Tables with more contents than smallTableSize are evaluated at most once per
// evaluationInterval, because a full table takes 6 ms of CPU time.
const (
	smallTableSize     = 128
	evaluationInterval = 50 * time.Millisecond
)

// Judge decides whether a request may be sent, given its subjects: its content and the parts of its
// prompt. It returns the finding on one that is quarantined. home reports whether this entry is the
// one that probes a subject. After Judge has returned Probe, it returns Refuse until the outcome of
// the probe is known or the probe delay has passed again.
func (t *Table) Judge(now time.Time, subjects []Fingerprint, home func(Fingerprint) bool) (Verdict, Finding) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var probes []Finding
	for _, f := range subjects {
		finding, found := t.finding(now, f)
		if !found {
			continue
		}
		if now.Before(t.probeAt(finding)) || !home(f) {
			return finding.verdict(), finding
		}
		probes = append(probes, finding)
	}
	if len(probes) == 0 {
		t.othersSent.record(t, now, subjects)
		return Send, Finding{}
	}
	for _, finding := range probes {
		t.records[finding.Subject].lastProbe = now
	}
	return Probe, probes[0]
}

// finding returns the finding on a content or part that is quarantined. The caller holds the lock.
func (t *Table) finding(now time.Time, f Fingerprint) (Finding, bool) {
	r := t.records[f]
	if r == nil || len(r.crashes) < crashThreshold { // saves the evaluation: most suspects are bystanders
		return Finding{}, false
	}
	t.evaluate(now)
	finding, found := t.findings[f]
	return finding, found
}

// probeAt returns when the next probe may be sent. A process that has just learned of the crashes does
// not know of probes that were sent before. The caller holds the lock.
func (t *Table) probeAt(f Finding) time.Time {
	r := t.records[f.Subject]
	firstDelay := min(f.ProbeAt.Sub(f.Last), initialProbeDelay)
	return later(later(f.ProbeAt, r.createdAt.Add(firstDelay)), r.lastProbe.Add(f.ProbeAt.Sub(f.Last)))
}

// Findings returns the findings on all contents and parts that are quarantined.
func (t *Table) Findings(now time.Time) map[Fingerprint]Finding {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evaluate(now)
	return maps.Clone(t.findings)
}

// evaluate updates the findings if the evidence has changed. The caller holds the lock.
func (t *Table) evaluate(now time.Time) {
	if !t.stale || len(t.records) > smallTableSize && now.Sub(t.evaluatedAt) < evaluationInterval {
		return
	}
	t.findings, t.stale, t.evaluatedAt = newEvaluation(t.records, t.targets).findings(), false, now
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// suspect is a content or part with its active crashes.
type suspect struct {
	subject         Fingerprint
	crashes         []Crash // by time
	evidence        float64 // against chance (see chanceModel)
	succeeded       bool    // at least once
	othersSent      bool    // requests without the part were sent since its first crash
	othersSucceeded bool    // requests without the part succeeded since its first crash
}

// inFlightAt reports whether the suspect was in flight when the incarnation ended.
func (s *suspect) inFlightAt(inc Incarnation) bool {
	return slices.ContainsFunc(s.crashes, func(c Crash) bool { return c.Incarnation == inc })
}

// sameKind reports whether both are contents, or both are parts.
func (s *suspect) sameKind(o *suspect) bool { return s.subject.IsPart() == o.subject.IsPart() }

// evaluation is the state of one evaluation of all records.
type evaluation struct {
	suspects []*suspect // in the order in which they are examined
	inFlight map[Incarnation][]*suspect
	crashes  []Crash // one per incarnation, by time
	chance   chanceModel
	// explained holds the crashes attributed to a suspect that has been found to be a cause, and
	// explainedByContent those of them that are attributed to a content.
	explained, explainedByContent map[Incarnation]bool
}

// findings returns the findings on what to quarantine. The crashes of a suspect found to be a cause
// do not count against those examined after it.
func (e *evaluation) findings() map[Fingerprint]Finding {
	out := map[Fingerprint]Finding{}
	for _, s := range e.suspects {
		if !e.isCause(s) {
			continue
		}
		own := e.ownCrashes(s) // another cause that was there makes a subject no less suspect, but not certain
		evidence := e.chance.evidence(own)
		certain := evidence >= certainty && (!s.subject.IsPart() || s.isCertainPart(own))
		for _, c := range s.crashes {
			e.explained[c.Incarnation] = true
			if !s.subject.IsPart() {
				e.explainedByContent[c.Incarnation] = true
			}
		}
		out[s.subject] = newFinding(s.subject, s.crashes, evidence, certain)
	}
	return out
}

// isCertainPart reports whether its own crashes allow to refuse a part for good, which concerns many callers: a few
// are not enough, and one without which no prompt succeeds may be what all prompts begin with.
func (s *suspect) isCertainPart(own []Crash) bool {
	return s.othersSucceeded && len(own) >= ambiguousThreshold
}

func newEvaluation(records map[Fingerprint]*record, targets int) *evaluation {
	e := &evaluation{chance: newChanceModel(records, targets), inFlight: map[Incarnation][]*suspect{}, explained: map[Incarnation]bool{}, explainedByContent: map[Incarnation]bool{}}
	for f, r := range records {
		active := r.activeCrashes()
		if len(active) == 0 {
			continue
		}
		s := &suspect{subject: f, crashes: active, succeeded: !r.lastSuccess.value.IsZero(), othersSent: r.othersSent.After(active[0].At),
			othersSucceeded: r.othersSucceeded.After(active[0].At)}
		if len(active) >= crashThreshold {
			s.evidence = e.chance.evidence(active)
		}
		e.suspects = append(e.suspects, s)
		for _, c := range active {
			if e.inFlight[c.Incarnation] == nil {
				e.crashes = append(e.crashes, c)
			}
			e.inFlight[c.Incarnation] = append(e.inFlight[c.Incarnation], s)
		}
	}
	slices.SortFunc(e.suspects, func(a, b *suspect) int {
		return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(b.evidence, a.evidence), cmp.Compare(len(b.crashes), len(a.crashes)), bytes.Compare(a.subject[:], b.subject[:]))
	})
	slices.SortFunc(e.crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
	return e
}

// rank returns the place of the suspect's kind in the order in which suspects are examined; within
// a rank, those come first whose crashes chance explains least.
func (s *suspect) rank() int {
	switch {
	case !s.subject.IsPart():
		return 1
	case s.succeeded:
		return 2
	}
	return 0
}

// isCause reports whether a suspect is considered the cause of its crashes, based on those that no
// other suspect explains.
func (e *evaluation) isCause(s *suspect) bool {
	if len(s.crashes) < crashThreshold {
		return false
	}
	if s.subject.IsPart() {
		return e.isCausingPart(s)
	}
	unexplained := without(s.crashes, e.explained)
	switch {
	case len(unexplained) >= crashThreshold && e.isConclusive(s, unexplained):
		return true
	case s.succeeded:
		return len(groupByTime(unexplained)) >= manyMoments
	}
	// The more targets a part crashes, the less often is a request alone at one that it crashes itself.
	return e.weightedCount(s, without(s.crashes, e.explainedByContent)) >= ambiguousThreshold
}

// ownCrashes returns the crashes of a suspect that nothing else explains. Of those at which a content was in
// flight that came again and again, one counts for a part, because that content may be the cause of
// the others.
func (e *evaluation) ownCrashes(s *suspect) []Crash {
	unexplained := without(s.crashes, e.explained)
	if s.subject.IsPart() {
		return e.withoutMainContent(unexplained)
	}
	return unexplained
}

// isCausingPart is isCause for a part.
func (e *evaluation) isCausingPart(s *suspect) bool {
	evidence := e.ownCrashes(s)
	moments := len(groupByTime(evidence))
	switch {
	case s.succeeded && s.othersSucceeded:
		return moments >= manyMoments
	case s.succeeded: // the targets may crash under any request
		return false
	case s.othersSucceeded:
		return len(evidence) >= crashThreshold && e.isConclusive(s, evidence)
	}
	return moments >= manyMoments || e.successiveCrashes(e.withoutTestedParts(s, evidence)) >= ambiguousThreshold
}

// withoutTestedParts returns the crashes at which no other part was in flight that may be told apart
// soon, because requests without it have been sent and may succeed.
func (e *evaluation) withoutTestedParts(s *suspect, crashes []Crash) []Crash {
	return slices.DeleteFunc(slices.Clone(crashes), func(c Crash) bool {
		return slices.ContainsFunc(e.inFlight[c.Incarnation], func(o *suspect) bool {
			return o != s && o.sameKind(s) && !o.succeeded && o.othersSent
		})
	})
}

// successiveCrashes counts crashes that cannot have had one external cause: those at different moments,
// and within a moment those of one content, which is sent again only after its target has ended.
func (e *evaluation) successiveCrashes(crashes []Crash) (n int) {
	for _, g := range groupByTime(crashes) {
		most := 1
		for o, shared := range e.sharedCrashes(g) {
			if !o.subject.IsPart() {
				most = max(most, shared)
			}
		}
		n += most
	}
	return n
}

// isConclusive reports whether crashes at which a suspect was in flight that has never succeeded tell
// it apart from others.
func (e *evaluation) isConclusive(s *suspect, crashes []Crash) bool {
	if s.succeeded {
		return false
	}
	if len(crashes) == crashThreshold && slices.ContainsFunc(crashes, func(c Crash) bool { return e.hasRival(s, c.Incarnation) }) {
		return false
	}
	n := e.weightedCount(s, crashes)
	return n >= ambiguousThreshold || n >= crashThreshold && !e.isAmbiguous(s, crashes)
}

// without returns the crashes of incarnations that are not in a set.
func without(crashes []Crash, set map[Incarnation]bool) []Crash {
	return slices.DeleteFunc(slices.Clone(crashes), func(c Crash) bool { return set[c.Incarnation] })
}

// withoutMainContent returns the crashes at which the content was not in flight that was at most of
// them, if it was at enough to be the cause, and the first at which it was.
func (e *evaluation) withoutMainContent(crashes []Crash) []Crash {
	var main *suspect
	most := crashThreshold - 1
	for o, n := range e.sharedCrashes(crashes) {
		if !o.subject.IsPart() && !o.succeeded && (n > most || n == most && main != nil && bytes.Compare(o.subject[:], main.subject[:]) < 0) {
			main, most = o, n
		}
	}
	if main == nil {
		return crashes
	}
	kept := false
	return slices.DeleteFunc(crashes, func(c Crash) bool {
		there := main.inFlightAt(c.Incarnation)
		drop := there && kept
		kept = kept || there
		return drop
	})
}

// sharedCrashes returns at how many of the crashes each suspect was in flight.
func (e *evaluation) sharedCrashes(crashes []Crash) map[*suspect]int {
	shared := map[*suspect]int{}
	for _, c := range crashes {
		for _, o := range e.inFlight[c.Incarnation] {
			shared[o]++
		}
	}
	return shared
}

// hasRival reports whether another suspect of the same kind that was in flight when the incarnation
// ended also has an unexplained crash on another incarnation. Where several causes are active at
// once, a bystander at one crash of each reaches three crashes before any of the causes
// does: in 600 simulated storms of three causes one bystander was quarantined without this
// check and none with it, at the same number of crashes.
func (e *evaluation) hasRival(s *suspect, inc Incarnation) bool {
	return slices.ContainsFunc(e.inFlight[inc], func(o *suspect) bool {
		return o != s && o.sameKind(s) && !o.succeeded && slices.ContainsFunc(o.crashes, func(c Crash) bool {
			return !e.explained[c.Incarnation] && !s.inFlightAt(c.Incarnation)
		})
	})
}

// weightedCount counts the unexplained crashes of a suspect; a group of them within
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

// isAmbiguous reports whether another suspect of the same kind with at least as many crashes may have
// caused so many of the given crashes of s that fewer than crashThreshold remain.
func (e *evaluation) isAmbiguous(s *suspect, crashes []Crash) bool {
	atLeast := len(s.crashes)
	if s.subject.IsPart() {
		atLeast = len(crashes)
	}
	for o, n := range e.sharedCrashes(crashes) {
		if o != s && o.sameKind(s) && !o.succeeded && len(o.crashes) >= atLeast && len(crashes)-n < crashThreshold {
			return true
		}
	}
	return false
}

func newFinding(subject Fingerprint, crashes []Crash, evidence float64, certain bool) Finding {
	f := Finding{Subject: subject, Crashes: len(crashes), First: crashes[0].At, Last: crashes[len(crashes)-1].At, Evidence: evidence, Certain: certain}
	for _, c := range crashes {
		if !slices.Contains(f.Reporters, c.Reporter) {
			f.Reporters = append(f.Reporters, c.Reporter)
		}
	}
	f.ProbeAt = f.Last.Add(holdDelay(moments(crashes)))
	if f.Certain || subject.isFurther() {
		f.ProbeAt = nextProbe(subject, crashes)
	}
	return f
}
