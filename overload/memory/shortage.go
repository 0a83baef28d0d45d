package memory

import "time"

// Shortage describes a time during which room was short: from the first refusal until there was
// none for Config.ShortFor.
type Shortage struct {
	Since   time.Time
	Refused int // reservations that were refused
	Ended   int // requests that were ended because their callers stood still

	last     time.Time // last refusal
	reported bool
}

// Change is a change of whether room is short.
type Change uint8

// Changes.
const (
	Unchanged Change = iota
	ShortageBegan
	ShortageEnded
)

func (s *Shortage) recordRefusal(now time.Time) {
	if s.Refused == 0 {
		s.Since = now
	}
	s.last = now
	s.Refused++
}

func (s *Shortage) active(now time.Time, hold time.Duration) bool {
	return s.Refused > 0 && now.Sub(s.last) < hold
}

// ShortageChange reports each beginning and end of a shortage once, for a log record.
func (b *Budget) ShortageChange(now time.Time) (Change, Shortage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.shortage
	switch {
	case s.Refused > 0 && !s.reported:
		b.shortage.reported = true
		return ShortageBegan, s
	case s.Refused > 0 && !s.active(now, b.cfg.ShortFor):
		b.shortage = Shortage{}
		return ShortageEnded, s
	}
	return Unchanged, s
}
