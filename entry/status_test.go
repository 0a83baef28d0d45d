package entry

import (
	"net/http/httptest"
	"testing"

	"github.com/springgate/springgate/outcome"
	"github.com/springgate/springgate/peer"
	"github.com/springgate/springgate/submission"
	"gotest.tools/v3/assert"
)

// Guards against a status that does not exist, from an agent that does not check what its target answers: the entry
// could not write it and closed the connection of the caller.
func TestImpossibleStatusIsARefusal(t *testing.T) {
	for _, status := range []int{-1, 0, 20, 99, 100, 101, 600, 999, 1000} {
		for repeatable, want := range map[bool]submission.Action{
			false: {Kind: submission.Finish, Outcome: outcome.Unknown, Reason: outcome.TargetFailed},
			true:  {Kind: submission.Backoff, Reason: outcome.TargetFailed},
		} {
			x := &exchange{w: httptest.NewRecorder(), id: [16]byte{1}}
			x.machine, _ = submission.New(submission.Request{Repeatable: repeatable})
			x.machine.HostChosen()
			got := x.received(&peer.Head{Attempt: x.attempt(), Status: status})
			assert.Check(t, got.Kind == want.Kind && got.Outcome == want.Outcome && got.Reason == want.Reason, "status %d: %+v", status, got)
		}
	}
}
