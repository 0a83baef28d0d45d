package mesh

import (
	"time"

	"github.com/springgate/springgate/peer"
)

// account decides what to tell of the own load: all of it at each heartbeat,
// and in between what changed. A full account repairs what got lost. It is pure.
type account struct {
	heartbeat time.Duration
	said      map[string]peer.TargetLoad
	fullAt    time.Time
	saidAt    time.Time

	failing     bool      // what was said of the store
	storeAt     time.Time // likewise
	storeSaidAt time.Time // when that was said
}

// storeNewsEvery is the least time between two accounts that are sent because
// the store was seen again. A watch that ends once a second is told of at once;
// in a burst of changes, one ends each 200 ms.
const storeNewsEvery = 400 * time.Millisecond

func newAccount(heartbeat time.Duration) *account {
	return &account{heartbeat: heartbeat, said: map[string]peer.TargetLoad{}}
}

// due reports whether an account may be told again.
func (a *account) due(now time.Time, interval time.Duration) bool {
	return now.Sub(a.saidAt) >= interval
}

// urgent reports whether an account must be told whatever the load: the store was
// seen, at a moment, or whether calls to it fail has changed. It takes that for
// told.
func (a *account) urgent(now, storeAt time.Time, failing bool) bool {
	seen := storeAt.After(a.storeAt) && now.Sub(a.storeSaidAt) >= storeNewsEvery
	if !seen && failing == a.failing {
		return false
	}
	a.failing, a.storeAt, a.storeSaidAt = failing, storeAt, now
	return true
}

// next returns the message for the current loads, or nil if there is nothing to
// tell.
func (a *account) next(now time.Time, current []peer.TargetLoad) *peer.Loads {
	msg := &peer.Loads{}
	gone := a.said
	a.said = make(map[string]peer.TargetLoad, len(current))
	for _, l := range current {
		old, had := gone[l.Instance]
		delete(gone, l.Instance)
		a.said[l.Instance] = l
		if !had || old != l {
			msg.Targets = append(msg.Targets, l)
		}
	}
	for id := range gone {
		msg.Targets = append(msg.Targets, peer.TargetLoad{Instance: id})
	}
	switch {
	case now.Sub(a.fullAt) >= a.heartbeat:
		a.fullAt, a.saidAt = now, now
		return &peer.Loads{Full: true, Targets: current}
	case len(msg.Targets) > 0:
		a.saidAt = now
		return msg
	}
	return nil
}

// merge joins two accounts of which the second is newer.
func merge(a, b *peer.Loads) *peer.Loads {
	if a == nil || b.Full {
		return b
	}
	out := &peer.Loads{Full: a.Full, Leaving: b.Leaving, Revision: b.Revision}
	newer := map[string]bool{}
	for _, l := range b.Targets {
		newer[l.Instance] = true
	}
	for _, l := range a.Targets {
		if !newer[l.Instance] {
			out.Targets = append(out.Targets, l)
		}
	}
	out.Targets = append(out.Targets, b.Targets...)
	return out
}
