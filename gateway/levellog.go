package gateway

import "time"

const (
	// levelLogInterval is the minimum time between two log records of a service's level.
	levelLogInterval = time.Second
	// levelRepeat is the time after which a level that has not changed is logged again, so that
	// the record in force is near a refusal in the log.
	levelRepeat = 10 * time.Second
)

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
