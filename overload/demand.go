package overload

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// demandHalfLife is the half-life of offered work. Levels follow a step of the load in two to
	// three half-lives.
	demandHalfLife = 500 * time.Millisecond
	// placingHalfLife is the half-life of placed and unplaced work.
	placingHalfLife = 250 * time.Millisecond
	// classRetention is how long a class without requests is remembered.
	classRetention = 10 * time.Second
	// maxClasses bounds the classes of a service that are counted one by one.
	maxClasses = 1024
	// maxRank is the least urgent rank that is told from others.
	maxRank = 9
)

// meter measures a rate by an exponentially decaying sum.
type meter struct {
	halfLife time.Duration
	sum      float64
	at       time.Time // of sum
	since    time.Time // of the latest reset; zero if none
}

func (m *meter) add(now time.Time, v float64) {
	m.sum = m.decayed(now) + v
	if now.After(m.at) {
		m.at = now
	}
}

// reset forgets what was measured.
func (m *meter) reset(now time.Time) { m.sum, m.at, m.since = 0, now, now }

func (m *meter) decayed(now time.Time) float64 {
	if m.sum == 0 || !now.After(m.at) {
		return m.sum
	}
	return m.sum * m.remains(now.Sub(m.at))
}

func (m *meter) remains(age time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(m.halfLife))
}

// minMeasured is the least time since a reset over which a rate is measured.
const minMeasured = 50 * time.Millisecond

// rate returns the mean per second, since the latest reset if that was recent.
func (m *meter) rate(now time.Time) float64 {
	rate := m.decayed(now) * math.Ln2 / m.halfLife.Seconds()
	if !m.since.IsZero() {
		rate /= 1 - m.remains(max(now.Sub(m.since), minMeasured))
	}
	return rate
}

// class is the state of a class at a service, or of the rest of a rank: the teams that are not
// counted one by one.
type class struct {
	Class
	offered meter // by fresh requests at this entry
	seen    time.Time

	heard   float64 // offered at other entries
	entries int     // other entries that told it
	means   float64 // of a rest: sum over these entries of the mean demand of a team

	fraction float64
	carry    float64 // remainder of the error diffusion, in [0, 1)
}

// admit decides on a request by error diffusion: of any n consecutive requests, fraction*n are
// admitted to within one.
func (c *class) admit() bool {
	c.carry += c.fraction
	if c.carry < 1 {
		return false
	}
	c.carry--
	return true
}

// normalized returns the class with a rank from 0 to maxRank.
func (c Class) normalized() Class {
	c.Rank = min(max(c.Rank, 0), maxRank)
	return c
}

// demandTable holds the classes of a service. Beyond maxClasses, the smallest are counted
// together by rank.
type demandTable struct {
	byName  map[Class]*class
	list    []*class
	rests   []*class // ascending by rank
	created int
}

func newDemandTable() demandTable { return demandTable{byName: map[Class]*class{}} }

// lookup returns the state of a class, or nil if it is not counted by itself.
func (t *demandTable) lookup(name Class) *class { return t.byName[name] }

// insert returns the state of a class that is not in the table; if the table is full, that of the
// rest of its rank.
func (t *demandTable) insert(now time.Time, name Class) *class {
	if len(t.list) >= maxClasses {
		return t.rest(now, name.Rank)
	}
	c := t.newClass(now, name)
	t.byName[name] = c
	t.list = append(t.list, c)
	return c
}

func (t *demandTable) newClass(now time.Time, name Class) *class {
	t.created++
	_, carry := math.Modf(float64(t.created) * math.Phi) // evenly distributed over the classes
	return &class{Class: name, offered: meter{halfLife: demandHalfLife}, seen: now, fraction: 1, carry: carry}
}

// rest returns the state of the teams of a rank that are not counted one by one.
func (t *demandTable) rest(now time.Time, rank int) *class {
	i, ok := slices.BinarySearchFunc(t.rests, rank, func(r *class, rank int) int { return cmp.Compare(r.Rank, rank) })
	if !ok {
		t.rests = slices.Insert(t.rests, i, t.newClass(now, Class{Rank: rank}))
	}
	return t.rests[i]
}

// prune drops the classes that have no demand, and the smallest quarter of a full table.
func (t *demandTable) prune(now time.Time) {
	t.drop(func(c *class) bool { return c.entries == 0 && now.Sub(c.seen) > classRetention })
	if len(t.list) >= maxClasses {
		t.dropSmallest(now, maxClasses/4)
	}
	t.rests = slices.DeleteFunc(t.rests, func(r *class) bool {
		return r.entries == 0 && now.Sub(r.seen) > classRetention
	})
}

// dropSmallest adds the n classes with the least demand to the rest of their ranks, but for those
// that other entries list.
func (t *demandTable) dropSmallest(now time.Time, n int) {
	slices.SortFunc(t.list, func(a, b *class) int {
		return cmp.Compare(b.heard+b.offered.rate(now), a.heard+a.offered.rate(now))
	})
	for _, c := range t.list[len(t.list)-n:] {
		if c.entries == 0 {
			t.rest(now, c.Rank).offered.add(now, c.offered.decayed(now))
			c.seen = time.Time{}
		}
	}
	t.drop(func(c *class) bool { return c.seen.IsZero() })
}

func (t *demandTable) drop(gone func(*class) bool) {
	t.list = slices.DeleteFunc(t.list, func(c *class) bool {
		if !gone(c) {
			return false
		}
		delete(t.byName, c.Class)
		return true
	})
}

// claims appends what each class asks for at all entries: first those of list, then those of
// rests, in their order. A class that another entry counts among its rest is taken to offer the
// mean of that rest there.
func (t *demandTable) claims(now time.Time, claims []claim) []claim {
	for _, c := range t.list {
		claims = append(claims, claim{rank: c.Rank, work: c.offered.rate(now) + c.heard, teams: 1, fraction: 1})
	}
	for _, r := range t.rests {
		left, mean := r.offered.rate(now)+r.heard, 0.0
		if r.entries > 0 {
			mean = r.means / float64(r.entries)
			left -= t.spread(r, mean, claims)
		}
		teams := 1.0
		if mean := max(mean, t.meanWork(r.Rank, claims)); mean > 0 {
			teams = max(1, left/mean)
		}
		claims = append(claims, claim{rank: r.Rank, work: max(left, 0), teams: teams, fraction: 1})
	}
	return claims
}

// spread adds the rest that other entries have told to the claims of the classes that they do not
// list, and returns how much it added.
func (t *demandTable) spread(r *class, mean float64, claims []claim) float64 {
	var sum float64
	for _, c := range t.list {
		if c.Rank == r.Rank {
			sum += mean * float64(max(r.entries-c.entries, 0))
		}
	}
	if sum == 0 {
		return 0
	}
	scale := min(1, r.heard/sum)
	for i, c := range t.list {
		if c.Rank == r.Rank {
			claims[i].work += scale * mean * float64(max(r.entries-c.entries, 0))
		}
	}
	return scale * sum
}

func (t *demandTable) meanWork(rank int, claims []claim) float64 {
	var sum float64
	var n int
	for i, c := range t.list {
		if c.Rank == rank {
			sum += claims[i].work
			n++
		}
	}
	return sum / float64(max(n, 1))
}
