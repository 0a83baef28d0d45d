package gateway

import (
	"math"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/dispatch"
)

// maxSlowLogs bounds the log lines about slow targets in one tick of a Control; further changes
// are counted in one line.
const maxSlowLogs = 10

// slowTargets follows which targets the balancer believes slow, for logs and metrics.
type slowTargets struct {
	known    map[string]dispatch.SlowTarget // by ID
	services map[string]bool                // with a gauge
	registry metrics.Registry
	slowdown metrics.Histogram // percent, of targets that have turned slow
}

func newSlowTargets(r metrics.Registry) slowTargets {
	return slowTargets{known: map[string]dispatch.SlowTarget{}, services: map[string]bool{}, registry: r,
		slowdown: histogram("control.target_slowdown_percent", r)}
}

// update records and logs what has changed. The number of gauges is bounded by that of the
// configured services.
func (s *slowTargets) update(list []dispatch.SlowTarget, log logrus.FieldLogger) {
	now := make(map[string]dispatch.SlowTarget, len(list))
	counts := make(map[string]int64, len(s.services))
	changes := 0
	for _, t := range list {
		now[t.ID] = t
		s.services[t.Service] = true
		counts[t.Service]++
		if _, was := s.known[t.ID]; !was {
			s.slowdown.Update(int64(math.Round(100 * t.Slowdown)))
			if changes++; changes <= maxSlowLogs {
				log.WithFields(logrus.Fields{"target": t.ID, "service": t.Service, "slowdown": t.Slowdown, "decided_by": string(t.Source)}).Info("Target is slow.")
			}
		}
	}
	for id, t := range s.known {
		if _, still := now[id]; !still {
			if changes++; changes <= maxSlowLogs {
				log.WithFields(logrus.Fields{"target": id, "service": t.Service, "decided_by": string(t.Source)}).Info("Target is no longer slow.")
			}
		}
	}
	if changes > maxSlowLogs {
		log.WithField("targets", changes-maxSlowLogs).Info("Further targets have turned slow or are no longer slow.")
	}
	s.known = now
	for service := range s.services {
		metrics.GetOrRegisterGauge("control.slow_targets."+service, s.registry).Update(counts[service])
	}
}
