package overload

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// reportLifetime is how long a report is used that is not repeated: four times its period.
	reportLifetime = 2 * time.Second
	// shortMemory is how long a service counts as short after a request found no place.
	shortMemory = 2 * time.Second
	// maxListed bounds the classes that a report lists one by one, and with it the bytes that
	// entries exchange, whatever the number of teams.
	maxListed = 96
)

// heardReport is the latest report of another entry, with where its demand was added.
type heardReport struct {
	from     string
	at       time.Time
	placed   float64
	unplaced float64
	refusals float64
	offered  float64
	level    float64
	short    bool
	listed   []listedDemand
}

type listedDemand struct {
	class *class
	work  float64
	mean  float64 // of a team, for the rest of a rank
}

// heard is what the other entries have told about a service.
type heard struct {
	reports []*heardReport // ascending by entry
	// Demand of the entries that were heard for the first time, and that were forgotten, since the
	// latest update of the level.
	joined, gone float64
}

func (h *heard) find(from string) (int, bool) {
	return slices.BinarySearchFunc(h.reports, from, func(r *heardReport, from string) int { return cmp.Compare(r.from, from) })
}

// set replaces the report of an entry.
func (h *heard) set(now time.Time, t *demandTable, from string, r Report) {
	n := &heardReport{from: from, at: now, placed: amount(r.Placed), unplaced: amount(r.Unplaced), refusals: amount(r.Refusals),
		level: min(amount(r.Level), 1), short: r.Short, listed: make([]listedDemand, 0, len(r.Offered))}
	for _, d := range r.Offered {
		l := t.addHeard(now, d)
		n.listed = append(n.listed, l)
		n.offered += l.work
	}
	i, known := h.find(from)
	if known {
		h.reports[i].remove()
		h.reports[i] = n
		return
	}
	h.reports = slices.Insert(h.reports, i, n)
	h.joined += n.offered
}

// remove forgets an entry.
func (h *heard) remove(from string) {
	if i, known := h.find(from); known {
		h.forget(h.reports[i])
		h.reports = slices.Delete(h.reports, i, i+1)
	}
}

func (h *heard) forget(r *heardReport) {
	r.remove()
	h.gone += r.offered
}

// expire forgets reports that were not repeated.
func (h *heard) expire(now time.Time) {
	h.reports = slices.DeleteFunc(h.reports, func(r *heardReport) bool {
		old := now.Sub(r.at) > reportLifetime
		if old {
			h.forget(r)
		}
		return old
	})
}

// needed reports whether another entry was short lately or holds a level, and so needs to know
// the demand here.
func (h *heard) needed() bool {
	return slices.ContainsFunc(h.reports, func(r *heardReport) bool { return r.short || r.level > 0 && r.level < 1 })
}

// remove takes back the demand that the report has added.
func (n *heardReport) remove() {
	for _, l := range n.listed {
		l.remove()
	}
}

// addHeard adds the demand that another entry has told.
func (t *demandTable) addHeard(now time.Time, d ClassDemand) listedDemand {
	l := listedDemand{work: amount(d.Work)}
	name := d.Class.normalized()
	if d.Teams <= 0 {
		l.class = t.lookup(name)
		if l.class == nil && len(t.list) < maxClasses {
			l.class = t.insert(now, name)
		}
	}
	if l.class == nil {
		l.class = t.rest(now, name.Rank)
		l.mean = l.work / float64(max(d.Teams, 1))
	}
	l.class.heard += l.work
	l.class.means += l.mean
	l.class.entries++
	return l
}

// remove takes back what addHeard has added.
func (l listedDemand) remove() {
	c := l.class
	c.entries--
	c.heard -= l.work
	c.means -= l.mean
	if c.entries == 0 {
		c.heard, c.means = 0, 0 // no rounding errors are left
	}
	c.heard, c.means = max(c.heard, 0), max(c.means, 0)
}

// offered lists the demand at this entry: the largest classes one by one, the others by rank.
func (t *demandTable) offered(now time.Time) []ClassDemand {
	list := make([]ClassDemand, 0, len(t.list))
	for _, c := range t.list {
		if work := c.offered.rate(now); work > 0 && now.Sub(c.seen) <= classRetention {
			list = append(list, ClassDemand{Class: c.Class, Work: work})
		}
	}
	slices.SortFunc(list, func(a, b ClassDemand) int {
		return cmp.Or(cmp.Compare(b.Work, a.Work), cmp.Compare(a.Class.Rank, b.Class.Rank), cmp.Compare(a.Class.Team, b.Class.Team))
	})
	n := min(len(list), maxListed)
	rests := t.ownRests(now)
	for _, d := range list[n:] {
		rests = addRest(rests, d.Class.Rank, d.Work, 1)
	}
	return append(slices.Clip(list[:n]), rests...)
}

// ownRests returns the demand of teams at this entry that are not counted one by one.
func (t *demandTable) ownRests(now time.Time) (rests []ClassDemand) {
	for _, r := range t.rests {
		if work := r.offered.rate(now); work > 0 && now.Sub(r.seen) <= classRetention {
			rests = addRest(rests, r.Rank, work, maxClasses)
		}
	}
	return rests
}

func addRest(rests []ClassDemand, rank int, work float64, teams int) []ClassDemand {
	for i := range rests {
		if rests[i].Class.Rank == rank {
			rests[i].Work += work
			rests[i].Teams += teams
			return rests
		}
	}
	return append(rests, ClassDemand{Class: Class{Rank: rank}, Work: work, Teams: teams})
}

// amount returns a rate that another entry has told, or 0 if it makes no sense.
func amount(v float64) float64 {
	if !(v > 0) || math.IsInf(v, 0) {
		return 0
	}
	return v
}
