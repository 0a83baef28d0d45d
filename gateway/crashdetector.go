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
	// dialCheckTimeout bounds the check whether a target still listens: fifteen times the
	// longest network round trip. A target that cannot be checked in time is not assumed to
	// have ended.
	dialCheckTimeout = 100 * time.Millisecond
	// crashReportWait is how long a request whose target has just ended waits before it is
	// sent to another target, so that reports of crashes that other entries observed at
	// the same moment arrive first. It is three times the longest one-way delay between two
	// entries.
	crashReportWait = 20 * time.Millisecond
	// suspectRetention is how long a suspect (a run of a target's process to which
	// connections broke) is kept after the last broken connection. A target that restarts
	// does so within seconds, and its next incarnation shows that the previous one has
	// ended.
	suspectRetention = 30 * time.Second
	// maxLostRequests bounds the unreported lost requests of each suspect; the newest are kept.
	maxLostRequests = 128
)

// incarnationOf returns the identity of a target's incarnation, that is, of one run of its
// process.
func incarnationOf(i fleet.Instance) quarantine.Incarnation {
	return quarantine.Incarnation{Target: i.ID, StartMs: i.StartMs}
}

// crashSuspect is an incarnation of a target to which connections broke.
type crashSuspect struct {
	target     fleet.Instance
	lastLossAt time.Time     // when the last connection broke before the target ended
	ended      bool          // the target has ended
	unreported []lostRequest // that are not reported as crashes yet
	checked    chan struct{} // closed when the check has finished, whatever its result
}

// lostRequest is a request during which the connection to its target broke.
type lostRequest struct {
	subjects []quarantine.Fingerprint
	inFlight []time.Duration // of the subjects (see quarantine.Crash)
	at       time.Time
}

// crashDetector determines which connections break because their target ended. A reset, a
// network partition or a frozen target must not count as a crash, because contents with
// several crashes are quarantined. An end is detected if the target's address refuses
// connections, or if another incarnation is listed. A target that was draining or no longer
// listed is not counted as having crashed under its requests.
type crashDetector struct {
	table *quarantine.Table
	host  string
	log   logrus.FieldLogger

	mu       sync.Mutex
	suspects map[quarantine.Incarnation]*crashSuspect
}

func newCrashDetector(table *quarantine.Table, host string, log logrus.FieldLogger) *crashDetector {
	return &crashDetector{table: table, host: host, log: log, suspects: map[quarantine.Incarnation]*crashSuspect{}}
}

// connectionLost records that the connection to a target broke during a request with the
// given subjects and time of sending. It waits for the check of the target and reports
// whether the target is known to have ended.
func (e *crashDetector) connectionLost(ctx context.Context, t fleet.Instance, subjects []quarantine.Fingerprint, sent, now time.Time) bool {
	x, counts := e.recordLoss(t, subjects, sent, now)
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

// recordLoss records a broken connection. counts is false if the request was sent after
// the target had already ended.
func (e *crashDetector) recordLoss(t fleet.Instance, subjects []quarantine.Fingerprint, sent, now time.Time) (x *crashSuspect, counts bool) {
	incarnation := incarnationOf(t)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prune(now)
	x = e.suspects[incarnation]
	if x != nil && x.ended && sent.After(x.lastLossAt) {
		return x, false
	}
	if x == nil || !x.ended && closed(x.checked) { // the target may have ended since the last check
		x = x.rechecked(t)
		e.suspects[incarnation] = x
		go e.checkListening(x)
	}
	if !x.ended {
		x.lastLossAt = now
	}
	lost := lostRequest{subjects: subjects, at: now}
	for _, f := range subjects {
		lost.inFlight = append(lost.inFlight, e.table.InFlight(now, f))
	}
	x.addUnreported(lost)
	e.report(x)
	return x, true
}

func (x *crashSuspect) addUnreported(r lostRequest) {
	x.unreported = append(x.unreported, r)
	x.unreported = x.unreported[max(len(x.unreported)-maxLostRequests, 0):]
}

// crashes returns one crash for each subject of the unreported requests: requests have parts of prompts
// in common.
func (x *crashSuspect) crashes(reporter string) (out []quarantine.Crash) {
	index := map[quarantine.Fingerprint]int{}
	for _, r := range x.unreported {
		for k, f := range r.subjects {
			i, seen := index[f]
			if !seen {
				index[f] = len(out)
				out = append(out, quarantine.Crash{Subject: f, Incarnation: incarnationOf(x.target), At: r.at, InFlight: r.inFlight[k], Reporter: reporter})
				continue
			}
			out[i].InFlight = max(out[i].InFlight, r.inFlight[k])
		}
	}
	return out
}

// rechecked returns a new suspect with an unfinished check, which takes over the
// unreported requests of x. x may be nil.
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

// checkListening checks whether a process still listens at the target's address.
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
		e.markEnded(x, "connection refused")
	}
}

// compareListed compares the suspects with the current list of targets. A suspect has
// ended if a later incarnation is listed under its ID or at its address.
func (e *crashDetector) compareListed(list []*fleet.Instance) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.suspects) == 0 {
		return
	}
	for _, i := range list {
		for incarnation, x := range e.suspects {
			same := i.ID == incarnation.Target && fleet.SameIncarnation(i.StartMs, incarnation.StartMs)
			if !same && (i.ID == incarnation.Target || i.Addr == x.target.Addr) && i.NewerThan(&x.target) {
				e.markEnded(x, "another incarnation is listed")
			}
		}
	}
}

// markEnded marks the incarnation as ended. The caller holds the lock.
func (e *crashDetector) markEnded(x *crashSuspect, how string) {
	if x.ended {
		return
	}
	x.ended = true
	t := x.target
	e.log.WithFields(logrus.Fields{"target": t.ID, "born": t.StartMs, "how": how, "lost": len(x.unreported)}).Warn("Target ended while running requests.")
	e.report(x)
}

// report adds the unreported requests of an ended incarnation to the table as crashes. The caller
// holds the lock.
func (e *crashDetector) report(x *crashSuspect) {
	if !x.ended {
		return
	}
	e.table.RecordCrashes(clock.Now(), x.crashes(e.host)...)
	x.unreported = nil
}

// recordAnswer records that an incarnation answered a request. If the request was sent
// after connections to the incarnation broke, they did not break because it ended.
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
		e.log.WithFields(logrus.Fields{"target": t.ID, "born": t.StartMs}).Warn("Target answered again; crashes reported for it are retracted.")
	}
}

// prune removes suspects whose connections broke long ago. The caller holds the lock.
func (e *crashDetector) prune(now time.Time) {
	for incarnation, x := range e.suspects {
		if now.Sub(x.lastLossAt) >= suspectRetention {
			delete(e.suspects, incarnation)
		}
	}
}
