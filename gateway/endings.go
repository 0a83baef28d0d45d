package gateway

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/quarantine"
)

const (
	// askTimeout bounds the question whether a target is still there: fifteen times the
	// longest way there and back. Who cannot be asked is not taken for ended.
	askTimeout = 100 * time.Millisecond
	// settleFor is how long a request waits under which a target has just ended, before it
	// is sent to another: what others saw in the same moment arrives meanwhile. It is
	// three times the longest way between two entries.
	settleFor = 20 * time.Millisecond
	// endingKept is how long it is remembered which contents lost their connections at a
	// target: a target that comes back does so within seconds, and shows by its next life
	// that it had ended.
	endingKept = 30 * time.Second
	// lostKept bounds how many contents that is for each target, the newest: more than one
	// works on at a time.
	lostKept = 64
)

// lifeOf returns the name of a target's life.
func lifeOf(i fleet.Instance) quarantine.Life { return quarantine.Life{Target: i.ID, Born: i.StartMs} }

// ending is a target's life at which connections broke.
type ending struct {
	target  fleet.Instance
	brokeAt time.Time          // the last of them before it had ended
	over    bool               // it has ended
	lost    []quarantine.Crash // not reported yet
	asked   chan struct{}      // closed when the target has answered, or has not
}

// endings finds out which of the connections that break do so because the target ended.
// A reset, a cut link or a freeze must not count: a content is shut out by it. Two things
// show an end: nothing listens at the address any more, or another life does. A target
// that was leaving, or no longer listed, has not ended under its requests.
type endings struct {
	table *quarantine.Table
	host  string
	log   logrus.FieldLogger

	mu    sync.Mutex
	lives map[quarantine.Life]*ending
}

func newEndings(table *quarantine.Table, host string, log logrus.FieldLogger) *endings {
	return &endings{table: table, host: host, log: log, lives: map[quarantine.Life]*ending{}}
}

// lost takes that a content's connection to a target broke, which it was sent to at sent.
// It reports whether the target is known to have ended under it.
func (e *endings) lost(ctx context.Context, t fleet.Instance, content quarantine.Fingerprint, sent, now time.Time) bool {
	x, counts := e.note(t, content, sent, now)
	if !counts {
		return false
	}
	select {
	case <-x.asked:
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return x.over
}

// note notes that a connection broke. It counts unless it was made to what had ended
// before.
func (e *endings) note(t fleet.Instance, content quarantine.Fingerprint, sent, now time.Time) (x *ending, counts bool) {
	life := lifeOf(t)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prune(now)
	x = e.lives[life]
	if x != nil && x.over && sent.After(x.brokeAt) {
		return x, false
	}
	if x == nil || !x.over && closed(x.asked) { // what listened then may have ended now
		x = x.again(t)
		e.lives[life] = x
		go e.ask(x)
	}
	if !x.over {
		x.brokeAt = now
	}
	x.lost = append(x.lost, quarantine.Crash{Content: content, Life: life, At: now, Seen: e.host})
	x.lost = x.lost[max(len(x.lost)-lostKept, 0):]
	e.report(x)
	return x, true
}

// again returns the ending, or a new one, with a question that is open.
func (x *ending) again(t fleet.Instance) *ending {
	out := &ending{target: t, asked: make(chan struct{})}
	if x != nil {
		out.lost = x.lost
	}
	return out
}

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// ask finds out whether something still listens at a target's address.
func (e *endings) ask(x *ending) {
	defer close(x.asked)
	ctx, cancel := clock.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", x.target.Addr)
	if err == nil {
		c.Close()
		return
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.end(x, "nothing listens")
	}
}

// listed takes the targets that are listed now: a later life under the ID of one that
// connections broke to, or at its address, shows that it has ended.
func (e *endings) listed(list []*fleet.Instance) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.lives) == 0 {
		return
	}
	for _, i := range list {
		for life, x := range e.lives {
			same := i.ID == life.Target && fleet.SameIncarnation(i.StartMs, life.Born)
			if !same && (i.ID == life.Target || i.Addr == x.target.Addr) && i.Revision > x.target.Revision {
				e.end(x, "another life is listed")
			}
		}
	}
}

// end takes that a target's life has ended; the lock is held.
func (e *endings) end(x *ending, how string) {
	if x.over {
		return
	}
	x.over = true
	t := x.target
	e.log.WithFields(logrus.Fields{"target": t.ID, "born": t.StartMs, "how": how, "lost": len(x.lost)}).Warn("Target ended under its requests.")
	e.report(x)
}

// report tells the table of what was lost with a life that has ended; the lock is held.
func (e *endings) report(x *ending) {
	if !x.over {
		return
	}
	e.table.RecordCrashes(clock.Now(), x.lost...)
	x.lost = nil
}

// answered takes that a target's life has answered a request that it was sent at a time.
// If that was after connections broke, these did not break because it ended.
func (e *endings) answered(t fleet.Instance, sent time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	life := lifeOf(t)
	x := e.lives[life]
	if x == nil || !sent.After(x.brokeAt) {
		return
	}
	delete(e.lives, life)
	if x.over {
		e.table.RetractCrash(life)
		e.log.WithFields(logrus.Fields{"target": t.ID, "born": t.StartMs}).Warn("Target has not ended after all.")
	}
}

// prune forgets lives at which connections broke long ago; the lock is held.
func (e *endings) prune(now time.Time) {
	for life, x := range e.lives {
		if now.Sub(x.brokeAt) >= endingKept {
			delete(e.lives, life)
		}
	}
}
