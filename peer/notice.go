package peer

import (
	"math"

	"github.com/springgate/springgate/notice"
)

// TargetNotice is an entry's latest information about a target from the target's own
// announcements.
type TargetNotice struct {
	Instance      string
	StartMs       int64   // start of the target's process, Unix milliseconds; 0 if unknown
	LimitDeclared bool    // the target has announced a limit
	PerS          float64 // the limit, in requests per second
	LimitRevision uint64  // of several notices, the limit with the highest LimitRevision is the newest
	Leaving       bool
}

// EncodeNotice converts a report about a target to its wire form.
func EncodeNotice(t notice.Report) TargetNotice {
	return TargetNotice{Instance: t.Target, StartMs: t.StartMs, LimitDeclared: t.Limit.Declared, PerS: t.Limit.PerS, LimitRevision: t.LimitRevision, Leaving: t.Leaving}
}

// Decode converts a notice to a report; ok is false if the notice is empty or invalid.
func (n TargetNotice) Decode() (t notice.Report, ok bool) {
	if n.Instance == "" || math.IsNaN(n.PerS) || n.PerS < 0 || n.LimitRevision == 0 && !n.Leaving {
		return notice.Report{}, false
	}
	return notice.Report{Incarnation: notice.Incarnation{Target: n.Instance, StartMs: n.StartMs},
		State: notice.State{Limit: notice.Limit{Declared: n.LimitDeclared, PerS: n.PerS}, LimitRevision: n.LimitRevision, Leaving: n.Leaving}}, true
}
