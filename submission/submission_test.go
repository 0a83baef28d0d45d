package submission_test

import (
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/springgate/springgate/outcome"
	"github.com/springgate/springgate/submission"
	"gotest.tools/v3/assert"
)

// Guards against incomplete or corrupt answers that are reported as completed: the length
// and the checksum must equal those in the agent's end frame.
func TestEndVerifiesLengthAndChecksum(t *testing.T) {
	body := []byte("whole")
	for name, c := range map[string]struct {
		length int64
		sum    uint64
		want   submission.ActionKind
		out    outcome.Outcome
	}{
		"complete":     {5, xxhash.Sum64(body), submission.Finish, outcome.Completed},
		"wrong sum":    {5, xxhash.Sum64(body) + 1, submission.Finish, outcome.Unknown},
		"too short":    {3, xxhash.Sum64(body[:3]), submission.Finish, outcome.Unknown},
		"data missing": {9, 0, submission.Fence, ""},
	} {
		m, _ := submission.New(submission.Request{})
		m.HostChosen()
		m.Head(1)
		assert.Equal(t, m.Data(1, 0, body).Kind, submission.Forward, name)
		a := m.End(1, c.length, c.sum)
		assert.Equal(t, a.Kind, c.want, name)
		assert.Equal(t, a.Outcome, c.out, name)
		assert.Equal(t, a.Abort, c.out == outcome.Unknown, name)
	}
}

// Guards against retries that burden a fleet at capacity. A second refusal for lack of
// capacity must end the request, while other refusals are retried on further hosts.
func TestCapacityRefusalIsRetriedOnce(t *testing.T) {
	tries := func(reason outcome.Reason) int {
		m, _ := submission.New(submission.Request{Repeatable: true})
		for n := 1; ; n++ {
			m.HostChosen()
			if a := m.Refused(m.Try(), reason, 0); a.Kind == submission.Finish {
				assert.Equal(t, a.Outcome, outcome.NotRun)
				return n
			}
			m.BackoffElapsed(true)
		}
	}
	assert.Equal(t, tries(outcome.QueueFull), 2)
	assert.Equal(t, tries(outcome.Leaving), 4)
}

// Guards against a stop of the entry that claims of a request in flight that it has not run.
func TestStopOfTheEntryIsTruthful(t *testing.T) {
	m, _ := submission.New(submission.Request{})
	a := m.EntryStopped()
	assert.Equal(t, a.Outcome, outcome.NotRun)
	assert.Equal(t, a.Reason, outcome.ShuttingDown)

	m, _ = submission.New(submission.Request{})
	m.HostChosen()
	a = m.EntryStopped()
	assert.Equal(t, a.Outcome, outcome.Unknown)
	assert.Equal(t, a.Reason, outcome.ShuttingDownRunning)
	assert.Assert(t, !a.Abort)

	m, _ = submission.New(submission.Request{})
	m.HostChosen()
	m.Head(1)
	assert.Assert(t, m.EntryStopped().Abort, "a part of the answer was forwarded")
}
