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
	Probe          // it is sent no more, and may be sent this once to find out whether that still holds
	Refuse         // it is sent no more
)

// Verdicts on more contents than fewContents are worked out anew each judgeEvery at the
// most: a full table takes 6 ms of the processor.
const (
	fewContents = 128
	judgeEvery  = 50 * time.Millisecond
)

// Judge decides about a content that is about to be sent, and tells what is known of one
// that is sent no more. home reports whether this is the one entry that probes; the answer
// Probe is given once, until the outcome is known or the time for it has passed again.
func (t *Table) Judge(now time.Time, f Fingerprint, home func() bool) (Verdict, Finding) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[f]
	if r == nil || len(r.crashes) < crashThreshold { // most are bystanders
		return Send, Finding{}
	}
	if t.stale && (len(t.records) <= fewContents || now.Sub(t.judgedAt) >= judgeEvery) {
		t.findings, t.stale, t.judgedAt = condemn(t.records), false, now
	}
	finding, found := t.findings[f]
	if !found {
		return Send, Finding{}
	}
	if probeAt := later(finding.ProbeAt, r.probed.Add(probeAfter(finding.Crashes))); now.Before(probeAt) || !home() {
		return Refuse, finding
	}
	r.probed = now
	return Probe, finding
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// suspect is a content with the crashes that count.
type suspect struct {
	content Fingerprint
	crashes []Crash // by time
	proven  bool    // it has ended well
}

// at reports whether the content was at work on a life as it ended.
func (s *suspect) at(life Incarnation) bool {
	return slices.ContainsFunc(s.crashes, func(c Crash) bool { return c.Incarnation == life })
}

// inquest is all that is known, for one round of verdicts.
type inquest struct {
	suspects  []*suspect // those with most crashes first
	at        map[Incarnation][]*suspect
	ends      []Crash // one for each life, by time
	explained map[Incarnation]bool
}

// condemn returns the contents that are sent no more. Those with most crashes are looked
// at first: what they explain does not count against others.
func condemn(records map[Fingerprint]*record) map[Fingerprint]Finding {
	q := newInquest(records)
	out := map[Fingerprint]Finding{}
	for _, s := range q.suspects {
		if !q.guilty(s) {
			continue
		}
		for _, c := range s.crashes {
			q.explained[c.Incarnation] = true
		}
		out[s.content] = findingOf(s.crashes)
	}
	return out
}

func newInquest(records map[Fingerprint]*record) *inquest {
	q := &inquest{at: map[Incarnation][]*suspect{}, explained: map[Incarnation]bool{}}
	for f, r := range records {
		open := r.open()
		if len(open) == 0 {
			continue
		}
		s := &suspect{f, open, !r.survived.is.IsZero()}
		q.suspects = append(q.suspects, s)
		for _, c := range open {
			if q.at[c.Incarnation] == nil {
				q.ends = append(q.ends, c)
			}
			q.at[c.Incarnation] = append(q.at[c.Incarnation], s)
		}
	}
	slices.SortFunc(q.suspects, func(a, b *suspect) int {
		return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), bytes.Compare(a.content[:], b.content[:]))
	})
	slices.SortFunc(q.ends, func(a, b Crash) int { return a.At.Compare(b.At) })
	return q
}

// guilty decides by the crashes that no other content explains.
func (q *inquest) guilty(s *suspect) bool {
	left := slices.DeleteFunc(slices.Clone(s.crashes), func(c Crash) bool { return q.explained[c.Incarnation] })
	switch {
	case len(left) < crashThreshold:
		return false
	case len(left) == crashThreshold && slices.ContainsFunc(left, func(c Crash) bool { return q.contested(s, c.Incarnation) }):
		return false
	case s.proven:
		return len(grouped(left)) >= provenThreshold
	}
	n := q.weight(s, left)
	return n >= ambiguousThreshold || n >= crashThreshold && !q.shared(s, left)
}

// contested reports whether another content that was at work on a life as it ended has
// ended one elsewhere too, for a reason that is not known. Where several causes are about
// at once, a bystander at an end of each has three before any of them has: of 600 played
// storms of three causes one shut a bystander out, and with this none, at as many ends.
func (q *inquest) contested(s *suspect, life Incarnation) bool {
	return slices.ContainsFunc(q.at[life], func(o *suspect) bool {
		return o != s && !o.proven && slices.ContainsFunc(o.crashes, func(c Crash) bool {
			return !q.explained[c.Incarnation] && !s.at(c.Incarnation)
		})
	})
}

// weight counts the crashes, those that came together with a crowd of others once.
func (q *inquest) weight(s *suspect, left []Crash) int {
	n := 0
	for _, g := range grouped(left) {
		if q.othersAt(s, g) >= correlationFactor*len(g) {
			n++
		} else {
			n += len(g)
		}
	}
	return n
}

// grouped groups crashes, which are in order, by the moment in which they were.
func grouped(crashes []Crash) [][]Crash {
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

// othersAt counts the lives that ended around a group, without the content at work on
// them and for no reason that is known.
func (q *inquest) othersAt(s *suspect, group []Crash) (n int) {
	from, to := group[0].At.Add(-correlationWindow), group[len(group)-1].At.Add(correlationWindow)
	i, _ := slices.BinarySearchFunc(q.ends, from, func(c Crash, t time.Time) int { return c.At.Compare(t) })
	for ; i < len(q.ends) && !q.ends[i].At.After(to); i++ {
		if life := q.ends[i].Incarnation; !q.explained[life] && !s.at(life) {
			n++
		}
	}
	return n
}

// shared reports whether another content with as many crashes may have been the cause
// of so many of these that too few are left.
func (q *inquest) shared(s *suspect, left []Crash) bool {
	with := map[*suspect]int{}
	for _, c := range left {
		for _, o := range q.at[c.Incarnation] {
			with[o]++
		}
	}
	for o, n := range with {
		if o != s && !o.proven && len(o.crashes) >= len(s.crashes) && len(left)-n < crashThreshold {
			return true
		}
	}
	return false
}

func findingOf(crashes []Crash) Finding {
	f := Finding{Crashes: len(crashes), First: crashes[0].At, Last: crashes[len(crashes)-1].At}
	for _, c := range crashes {
		if !slices.Contains(f.Reporters, c.Reporter) {
			f.Reporters = append(f.Reporters, c.Reporter)
		}
	}
	f.ProbeAt = f.Last.Add(probeAfter(f.Crashes))
	return f
}
