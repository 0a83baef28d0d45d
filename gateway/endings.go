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
	// dialCheckTimeout bounds the question whether a target is still there: fifteen times the
	// longest way there and back. Who cannot be asked is not taken for ended.
	dialCheckTimeout = 100 * time.Millisecond
	// crashReportWait is how long a request waits under which a target has just ended, before it
	// is sent to another: what others saw in the same moment arrives meanwhile. It is
	// three times the longest way between two entries.
	crashReportWait = 20 * time.Millisecond
	// suspectRetention is how long it is remembered which contents lost their connections at a
	// target: a target that comes back does so within seconds, and shows by its next life
	// that it had ended.
	suspectRetention = 30 * time.Second
	// maxCrashesPerSuspect bounds how many contents that is for each target, the newest: more than one
	// works on at a time.
	maxCrashesPerSuspect = 64
)

// incarnationOf returns the name of a target's life.
func incarnationOf(i fleet.Instance) quarantine.Life {
	return quarantine.Life{Target: i.ID, Born: i.Born}
}

// crashSuspect is a target's life at which connections broke.
type crashSuspect struct {
	target     fleet.Instance
	lastLossAt time.Time          // the last of them before it had ended
	ended      bool               // it has ended
	unreported []quarantine.Crash // not reported yet
	checked    chan struct{}      // closed when the target has answered, or has not
}

// crashDetector finds out which of the connections that break do so because the target ended.
// A reset, a cut link or a freeze must not count: a content is shut out by it. Two things
// show an end: nothing listens at the address any more, or another life does. A target
// that was leaving, or no longer listed, has not ended under its requests.
type crashDetector struct {
	table *quarantine.Table
	host  string
	log   logrus.FieldLogger

	mu       sync.Mutex
	suspects map[quarantine.Life]*crashSuspect
}

func newCrashDetector(table *quarantine.Table, host string, log logrus.FieldLogger) *crashDetector {
	return &crashDetector{table: table, host: host, log: log, suspects: map[quarantine.Life]*crashSuspect{}}
}

// connectionLost takes that a content's connection to a target broke, which it was sent to at sent.
// It reports whether the target is known to have ended under it.
func (e *crashDetector) connectionLost(ctx context.Context, t fleet.Instance, content quarantine.Fingerprint, sent, now time.Time) bool {
	x, counts := e.recordLoss(t, content, sent, now)
	if !counts {
		return false
	}
	select {
	case <-x.checked:
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return x.ended
}

// recordLoss notes that a connection broke. It counts unless it was made to what had ended
// before.
func (e *crashDetector) recordLoss(t fleet.Instance, content quarantine.Fingerprint, sent, now time.Time) (x *crashSuspect, counts bool) {
	incarnation := incarnationOf(t)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prune(now)
	x = e.suspects[incarnation]
	if x != nil && x.ended && sent.After(x.lastLossAt) {
		return x, false
	}
	if x == nil || !x.ended && closed(x.checked) { // what listened then may have ended now
		x = x.rechecked(t)
		e.suspects[incarnation] = x
		go e.checkListening(x)
	}
	if !x.ended {
		x.lastLossAt = now
	}
	x.unreported = append(x.unreported, quarantine.Crash{Content: content, Life: incarnation, At: now, Seen: e.host})
	x.unreported = x.unreported[max(len(x.unreported)-maxCrashesPerSuspect, 0):]
	e.report(x)
	return x, true
}

// rechecked returns the ending, or a new one, with a question that is open.
func (x *crashSuspect) rechecked(t fleet.Instance) *crashSuspect {
	out := &crashSuspect{target: t, checked: make(chan struct{})}
	if x != nil {
		out.unreported = x.unreported
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

// checkListening finds out whether something still listens at a target's address.
func (e *crashDetector) checkListening(x *crashSuspect) {
	defer close(x.checked)
	ctx, cancel := clock.WithTimeout(context.Background(), dialCheckTimeout)
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
		e.markEnded(x, "nothing listens")
	}
}

// compareListed takes the targets that are compareListed now: a later life under the ID of one that
// connections broke to, or at its address, shows that it has ended.
func (e *crashDetector) compareListed(list []*fleet.Instance) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.suspects) == 0 {
		return
	}
	for _, i := range list {
		for incarnation, x := range e.suspects {
			same := i.ID == incarnation.Target && fleet.SameLife(i.Born, incarnation.Born)
			if !same && (i.ID == incarnation.Target || i.Addr == x.target.Addr) && i.Revision > x.target.Revision {
				e.markEnded(x, "another life is listed")
			}
		}
	}
}

// markEnded takes that a target's life has ended; the lock is held.
func (e *crashDetector) markEnded(x *crashSuspect, how string) {
	if x.ended {
		return
	}
	x.ended = true
	t := x.target
	e.log.WithFields(logrus.Fields{"target": t.ID, "born": t.Born, "how": how, "lost": len(x.unreported)}).Warn("Target ended under its requests.")
	e.report(x)
}

// report tells the table of what was lost with a life that has ended; the lock is held.
func (e *crashDetector) report(x *crashSuspect) {
	if !x.ended {
		return
	}
	e.table.RecordCrashes(clock.Now(), x.unreported...)
	x.unreported = nil
}

// recordAnswer takes that a target's life has recordAnswer a request that it was sent at a time.
// If that was after connections broke, these did not break because it ended.
func (e *crashDetector) recordAnswer(t fleet.Instance, sent time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	incarnation := incarnationOf(t)
	x := e.suspects[incarnation]
	if x == nil || !sent.After(x.lastLossAt) {
		return
	}
	delete(e.suspects, incarnation)
	if x.ended {
		e.table.RetractCrash(incarnation)
		e.log.WithFields(logrus.Fields{"target": t.ID, "born": t.Born}).Warn("Target has not ended after all.")
	}
}

// prune forgets lives at which connections broke long ago; the lock is held.
func (e *crashDetector) prune(now time.Time) {
	for incarnation, x := range e.suspects {
		if now.Sub(x.lastLossAt) >= suspectRetention {
			delete(e.suspects, incarnation)
		}
	}
}
