package soak

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/springgate/springgate/platform/fake"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Guards against processes that end before they have answered the requests that outlive their drain.
func TestSoakRequestThatOutlivesAPlannedStopIsAnswered(t *testing.T) {
	const seed = 9801
	f, err := newFleet(Config{Seed: seed, Entries: 1, PlainTargets: 1, Grace: time.Second, Bin: buildPrograms(t), Dir: seedDir(t, seed), Logf: t.Logf})
	assert.NilError(t, err)
	defer f.close()
	entry, target := f.entries[0], f.plainTargets[0]
	awaitStatus(t, entry, http.StatusOK)
	release := target.Hold()
	defer release()
	status := make(chan int, 1)
	go func() { status <- callStatus(t, entry, "held") }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(f.requestLog.Reached()["held"]) > 0 {
			return poll.Success()
		}
		return poll.Continue("the request has not reached its target")
	}, poll.WithTimeout(time.Minute))
	entry.Signal(syscall.SIGTERM)
	assert.Equal(t, <-status, http.StatusBadGateway)
	assert.Assert(t, entry.Wait(time.Minute))
}

// awaitStatus waits until calls to the entry end with the given status.
func awaitStatus(t *testing.T, entry *Process, status int) {
	n := 0
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		n++
		if got := callStatus(t, entry, fmt.Sprint("probe-", n)); got != status {
			return poll.Continue("status %d", got)
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute))
}

// callStatus returns the status of a call that must not be repeated, or 0 if it got no response.
func callStatus(t *testing.T, entry *Process, id string) int {
	r, err := fake.NewRequest(entry.node.Callers, hostName, "/unsafe/x", fake.Call{ID: id, Key: permanentKey, Timeout: time.Minute})
	assert.Check(t, err)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}
