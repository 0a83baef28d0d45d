package gateway

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/overload"
)

const (
	// fractionChange and roomChange are the changes that are logged: of a rank's admitted
	// fraction, and of the room as a ratio.
	fractionChange = 0.1
	roomChange     = 0.25
	// maxLowestLogged is how many classes a log record lists.
	maxLowestLogged = 4
)

// rankLevel sums up the classes of one rank. Its field names appear in log records.
type rankLevel struct {
	Rank     int
	Offered  float64 // seconds of target time per second
	Fraction float64 // admitted
	Limited  int     // teams of which not all is admitted
}

// summary is a level as logged and measured.
type summary struct {
	room, offered float64
	entries       int
	ranks         []rankLevel
	lowest        []overload.ClassLevel // with the lowest fractions, of those that are limited
}

func summarize(l overload.Level) summary {
	s := summary{room: l.Room, entries: l.Entries}
	byRank := map[int]*rankLevel{}
	for _, c := range l.Classes {
		r := byRank[c.Class.Rank]
		if r == nil {
			r = &rankLevel{Rank: c.Class.Rank}
			byRank[c.Class.Rank] = r
		}
		r.Offered += c.Offered
		r.Fraction += c.Offered * c.Fraction // divided by Offered below
		s.offered += c.Offered
		if c.Fraction < 1 {
			r.Limited++
			s.lowest = append(s.lowest, c)
		}
	}
	for _, r := range byRank {
		if r.Offered > 0 {
			r.Fraction /= r.Offered
		} else {
			r.Fraction = 1
		}
		s.ranks = append(s.ranks, *r)
	}
	slices.SortFunc(s.ranks, func(a, b rankLevel) int { return cmp.Compare(a.Rank, b.Rank) })
	slices.SortStableFunc(s.lowest, func(a, b overload.ClassLevel) int {
		return cmp.Or(cmp.Compare(a.Fraction, b.Fraction), cmp.Compare(b.Offered, a.Offered))
	})
	return s
}

// limitedTeams returns the number of teams of which not all is admitted, at any rank.
func (s summary) limitedTeams() int {
	teams := map[string]bool{}
	for _, c := range s.lowest {
		teams[c.Class.Team] = true
	}
	return len(teams)
}

// fractionOf returns the admitted fraction of a rank.
func (s summary) fractionOf(rank int) float64 {
	for _, r := range s.ranks {
		if r.Rank == rank {
			return r.Fraction
		}
	}
	return 1
}

// differs reports whether the change from old is worth a log record.
func (s summary) differs(old summary) bool {
	if math.Abs(s.room-old.room) > roomChange*max(s.room, old.room) {
		return true
	}
	for _, r := range append(slices.Clone(s.ranks), old.ranks...) {
		if math.Abs(s.fractionOf(r.Rank)-old.fractionOf(r.Rank)) >= fractionChange {
			return true
		}
	}
	return false
}

func (s summary) fields(service string) logrus.Fields {
	f := logrus.Fields{"service": service, "room": rounded(s.room), "offered": rounded(s.offered), "entries": s.entries,
		"limited_teams": s.limitedTeams()}
	var ranks, lowest []string
	for _, r := range s.ranks {
		ranks = append(ranks, fmt.Sprintf("%d: fraction %.2f of %.1f, %d teams limited", r.Rank, r.Fraction, r.Offered, r.Limited))
	}
	for _, c := range s.lowest[:min(len(s.lowest), maxLowestLogged)] {
		lowest = append(lowest, fmt.Sprintf("%d %s: fraction %.2f of %.1f", c.Class.Rank, c.Class.Team, c.Fraction, c.Offered))
	}
	f["ranks"], f["lowest"] = ranks, lowest
	return f
}

// rounded rounds to 3 decimals.
func rounded(v float64) float64 { return math.Round(v*1000) / 1000 }
