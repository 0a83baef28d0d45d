package gateway

import (
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/quarantine"
)

// maxQuarantineLogs bounds the log lines about quarantined contents and parts in one tick of a
// Control; further changes are counted in one line.
const maxQuarantineLogs = 10

// quarantineMonitor follows what is quarantined, for logs and metrics.
type quarantineMonitor struct {
	known           map[quarantine.Fingerprint]quarantine.Finding
	contents, parts metrics.Gauge
}

func newQuarantineMonitor(r metrics.Registry) quarantineMonitor {
	return quarantineMonitor{contents: metrics.NewRegisteredGauge("control.quarantined_contents", r),
		parts: metrics.NewRegisteredGauge("control.quarantined_prompt_parts", r)}
}

// update records and logs what has changed.
func (m *quarantineMonitor) update(now time.Time, findings map[quarantine.Fingerprint]quarantine.Finding, log logrus.FieldLogger) {
	changes, parts := 0, 0
	record := func(x quarantine.Finding, message string) {
		if changes++; changes <= maxQuarantineLogs {
			f := logrus.Fields{"kind": kindOf(x.Subject)}
			addFinding(f, x, now)
			log.WithFields(f).Warn(message)
		}
	}
	for f, x := range findings {
		if f.IsPart() {
			parts++
		}
		if _, was := m.known[f]; !was {
			record(x, "Quarantine begins: targets crash.")
		}
	}
	for f, x := range m.known {
		if _, still := findings[f]; !still {
			record(x, "Quarantine ends.")
		}
	}
	if changes > maxQuarantineLogs {
		log.WithField("subjects", changes-maxQuarantineLogs).Warn("Further quarantines begin or end.")
	}
	m.known = findings
	m.contents.Update(int64(len(findings) - parts))
	m.parts.Update(int64(parts))
}

// kindOf names the kind of a subject in log records.
func kindOf(f quarantine.Fingerprint) string {
	if f.IsPart() {
		return "prompt_part"
	}
	return "content"
}
