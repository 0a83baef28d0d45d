package gateway

import (
	"fmt"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/overload"
)

// maxRankMetrics bounds the ranks with metrics of their own; the last one covers all others.
const maxRankMetrics = 16

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
