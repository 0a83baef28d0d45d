package mesh

import (
	"time"

	"github.com/springgate/springgate/overload"
	"github.com/springgate/springgate/peer"
)

// loadReporter decides which loads of this process (requests in flight at a target) to send: all
// of them at each heartbeat, and only the changes in between. A full report makes up for reports
// that were lost. It performs no I/O and reads no clock.
type loadReporter struct {
	heartbeat time.Duration
	reported  map[string]peer.TargetLoad
	lastFull  time.Time
	lastSent  time.Time

	short   map[string]bool // services reported as short of targets
	onset   bool            // another service is short of targets; a full report says so
	onsetAt time.Time       // when a full report was last sent for that

	storeFailing bool      // store state as last sent
	storeSeenAt  time.Time // time of the store read that was last reported
	storeSentAt  time.Time // when the store state was last sent
}

// storeReportInterval is the minimum time between two reports that are sent only because
// the store was read again. A watch that ends once a second is reported at once; in a
// burst of changes a watch ends every 200 ms, and not each is reported.
const storeReportInterval = 400 * time.Millisecond

func newLoadReporter(heartbeat time.Duration) *loadReporter {
	return &loadReporter{heartbeat: heartbeat, reported: map[string]peer.TargetLoad{}}
}

// due reports whether interval has passed since the last report.
func (r *loadReporter) due(now time.Time, interval time.Duration) bool {
	return now.Sub(r.lastSent) >= interval
}

// urgent reports whether a report must be sent even if no load changed, because the
// store was read again at storeAt or calls to it started or stopped failing. If so, it
// records the new store state as sent.
func (r *loadReporter) urgent(now, storeAt time.Time, failing bool) bool {
	seen := storeAt.After(r.storeSeenAt) && now.Sub(r.storeSentAt) >= storeReportInterval
	if !seen && failing == r.storeFailing {
		return false
	}
	r.storeFailing, r.storeSeenAt, r.storeSentAt = failing, storeAt, now
	return true
}

// noteShortages makes the next report a full one if another service has become short of targets,
// which the other entries must know soon; at most once in a heartbeat.
func (r *loadReporter) noteShortages(now time.Time, reports map[string]overload.Report) {
	began := false
	short := make(map[string]bool, len(reports))
	for service := range reports {
		short[service] = true
		began = began || !r.short[service]
	}
	if began && now.Sub(r.onsetAt) < r.heartbeat {
		return // began again later, or sent with the next heartbeat
	}
	if began {
		r.onset, r.onsetAt = true, now
	}
	r.short = short
}

// next returns the message for the current loads, or nil if there is nothing to send.
func (r *loadReporter) next(now time.Time, current []peer.TargetLoad) *peer.Loads {
	msg := &peer.Loads{}
	removed := r.reported
	r.reported = make(map[string]peer.TargetLoad, len(current))
	for _, l := range current {
		old, known := removed[l.Instance]
		delete(removed, l.Instance)
		r.reported[l.Instance] = l
		if !known || old != l {
			msg.Targets = append(msg.Targets, l)
		}
	}
	for id := range removed {
		msg.Targets = append(msg.Targets, peer.TargetLoad{Instance: id})
	}
	switch {
	case now.Sub(r.lastFull) >= r.heartbeat || r.onset:
		r.lastFull, r.lastSent, r.onset = now, now, false
		return &peer.Loads{Full: true, Targets: current}
	case len(msg.Targets) > 0:
		r.lastSent = now
		return msg
	}
	return nil
}

// mergeLoads merges two reports, of which b is newer.
func mergeLoads(a, b *peer.Loads) *peer.Loads {
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
