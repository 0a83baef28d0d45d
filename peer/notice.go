package peer

import (
	"math"

	"github.com/springgate/springgate/notice"
)

// TargetNotice is what an entry believes of a target by what that says of itself.
type TargetNotice struct {
	Instance string
	StartMs     int64
	LimitDeclared  bool    // it has named a limit
	PerS     float64 // the limit, in requests a second
	LimitRevision     uint64  // of two notices of a limit the one with the higher turn is newer
	Leaving  bool
}

// EncodeNotice returns a belief as a message has it.
func EncodeNotice(t notice.Report) TargetNotice {
	return TargetNotice{Instance: t.Target, StartMs: t.StartMs, LimitDeclared: t.Limit.Declared, PerS: t.Limit.PerS, LimitRevision: t.LimitRevision, Leaving: t.Leaving}
}

// Decode returns the belief; ok is false if there is none that can be believed.
func (n TargetNotice) Decode() (t notice.Report, ok bool) {
	if n.Instance == "" || math.IsNaN(n.PerS) || n.PerS < 0 || n.LimitRevision == 0 && !n.Leaving {
		return notice.Report{}, false
	}
	return notice.Report{Incarnation: notice.Incarnation{Target: n.Instance, StartMs: n.StartMs},
		State: notice.State{Limit: notice.Limit{Declared: n.LimitDeclared, PerS: n.PerS}, LimitRevision: n.LimitRevision, Leaving: n.Leaving}}, true
}
