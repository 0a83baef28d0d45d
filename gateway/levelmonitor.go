package gateway

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/overload"
)

const (
	// levelLogInterval is the minimum time between two log records of a service's level.
	levelLogInterval = time.Second
	// levelRepeat is the time after which a level that has not changed is logged again, so that
	// the record in force is near a refusal in the log.
	levelRepeat = 10 * time.Second
	// fractionChange and roomChange are the changes that are logged: of a rank's admitted
	// fraction, and of the room as a ratio.
	fractionChange = 0.1
	roomChange     = 0.25
	// maxLowestLogged is how many classes a log record lists.
	maxLowestLogged = 4
	// maxRankMetrics bounds the ranks with metrics of their own; the last one covers all others.
	maxRankMetrics = 16
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

// levelLog decides which levels are logged. It does no I/O and reads no clock.
type levelLog struct {
	services map[string]*loggedLevel
}

// loggedLevel is the last log record of a service's level.
type loggedLevel struct {
	at      time.Time
	inForce bool
	summary summary
}

// LevelText begins the texts of all log records of levels.
const LevelText = "Admission level "

// Texts of the log records of levels.
const (
	levelBegan   = LevelText + "in force."
	levelChanged = LevelText + "changed."
	levelEnded   = LevelText + "no longer in force."
)

// next returns the text of the log record of a service's level to write now, or "". s is nil if no level is in force.
func (l *levelLog) next(now time.Time, service string, s *summary) string {
	last := l.services[service]
	if last == nil {
		if s == nil {
			return ""
		}
		last = &loggedLevel{}
		l.services[service] = last
	}
	if now.Sub(last.at) < levelLogInterval {
		return ""
	}
	event := ""
	switch {
	case s == nil && last.inForce:
		event = levelEnded
	case s == nil:
		delete(l.services, service)
	case !last.inForce:
		event = levelBegan
	case s.differs(last.summary) || now.Sub(last.at) >= levelRepeat:
		event = levelChanged
	}
	if event == "" {
		return ""
	}
	last.at, last.inForce = now, s != nil
	if s != nil {
		last.summary = *s
	}
	return event
}

// levelMonitor logs and measures the admission levels of an entry. It is used by one goroutine.
type levelMonitor struct {
	registry metrics.Registry
	logger   logrus.FieldLogger
	log      levelLog
	measured map[string]int // services with gauges, and the number of their ranks
}

func newLevelMonitor(r metrics.Registry, log logrus.FieldLogger) *levelMonitor {
	return &levelMonitor{registry: r, logger: log, log: levelLog{services: map[string]*loggedLevel{}}, measured: map[string]int{}}
}

// update logs and measures the levels in force.
func (m *levelMonitor) update(now time.Time, levels []overload.Level) {
	inForce := map[string]bool{}
	for _, l := range levels {
		inForce[l.Service] = true
		s := summarize(l)
		m.measure(l.Service, s)
		if event := m.log.next(now, l.Service, &s); event != "" {
			m.logger.WithFields(s.fields(l.Service)).Warn(event)
		}
	}
	for service := range m.measured {
		if inForce[service] {
			continue
		}
		m.measure(service, summary{})
		if event := m.log.next(now, service, nil); event != "" {
			m.logger.WithField("service", service).Info(event)
		}
	}
}

// measure sets the gauges of a service's level.
func (m *levelMonitor) measure(service string, s summary) {
	m.gauge(service, "room").Update(s.room)
	m.gauge(service, "offered").Update(s.offered)
	m.gauge(service, "entries").Update(float64(s.entries))
	m.gauge(service, "limited_teams").Update(float64(s.limitedTeams()))
	n := m.measured[service]
	for _, r := range s.ranks {
		n = max(n, min(r.Rank+1, maxRankMetrics))
	}
	m.measured[service] = n
	offered := make([]float64, n)
	for _, r := range s.ranks {
		offered[min(r.Rank, n-1)] += r.Offered
	}
	for rank := range n {
		m.gauge(service, fmt.Sprintf("rank_%d.offered", rank)).Update(offered[rank])
		m.gauge(service, fmt.Sprintf("rank_%d.fraction", rank)).Update(s.fractionOf(rank))
	}
}

func (m *levelMonitor) gauge(service, name string) metrics.GaugeFloat64 {
	return metrics.GetOrRegisterGaugeFloat64("level."+service+"."+name, m.registry)
}
