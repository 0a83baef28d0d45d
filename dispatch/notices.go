package dispatch

import (
	"time"

	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/notice"
)

// HearNotice takes what an answer to a request that was sent at a time says of the target
// that gave it.
func (b *Book) HearNotice(now time.Time, i fleet.Instance, s notice.Statement, sent time.Time) notice.Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := b.notices.Hear(now, notice.LifeOf(i), s, sent)
	if changed.Limit {
		b.wake()
	}
	return changed
}
