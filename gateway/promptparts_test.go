package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock/clocktest"
	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/quarantine"
	"gotest.tools/v3/assert"
)

// newPromptCrashTargets returns targets that crash as they begin to answer a prompt with the part
// "bad": before the header of the answer, or after it. crashed reports which have.
func newPromptCrashTargets(t *testing.T, n int, afterHeader bool) (out []*target, crashed func(i int) bool) {
	out = make([]*target, n)
	ended := make([]atomic.Bool, n)
	for i := range out {
		crash := crashHandler(&out[i])
		out[i] = newTarget(t, func(w http.ResponseWriter, r *http.Request) {
			if slices.Contains(strings.Split(r.Header.Get("Parts"), ","), "bad") {
				if afterHeader {
					w.Header().Set("Signed", "by the target")
					w.WriteHeader(http.StatusOK)
					w.(http.Flusher).Flush()
				}
				ended[i].Store(true)
				crash(w, r)
			}
			streamHandler(2, 2)(w, r)
		})
	}
	return out, func(i int) bool { return ended[i].Load() }
}

// unlistCrashed removes crashed targets from the lists of the gateways, as the platform does.
func unlistCrashed(gateways []*testGateway, targets []*target, crashed func(i int) bool) {
	var list []*fleet.Instance
	for i, x := range targets {
		if !crashed(i) {
			list = append(list, &fleet.Instance{ID: fmt.Sprintf("i-%d", i), Service: "s", Addr: x.addr(), Domain: fmt.Sprint(i), Slots: 100})
		}
	}
	for _, f := range gateways {
		f.gateway.balancer.Apply(list, f.gateway.Config().Services)
	}
}

// newSharedTableGateways returns gateways that share their evidence on crashes.
func newSharedTableGateways(t *testing.T, n int, targets []*target) (out []*testGateway) {
	table := quarantine.NewTable()
	for range n {
		f := newTestGateway(t, targets...)
		f.gateway.cfg.Crashes, f.gateway.crashDetector.table = table, table
		out = append(out, f)
	}
	return out
}

// Guards against requests that differ in all but one part of their prompts, which crashes each target
// that begins to answer it.
func TestPartOfPromptsThatCrashesTargetsIsQuarantined(t *testing.T) {
	const crashes, sendsAfter, requests = 5, 3, 80 // one each 150 ms, until probes have made it certain
	for _, parts := range []string{"bad,system", "system,bad"} {
		for _, afterHeader := range []bool{false, true} {
			machine := clocktest.New(t)
			targets, crashed := newPromptCrashTargets(t, 40, afterHeader)
			entries := newSharedTableGateways(t, 3, targets)
			sends, served := 0, 0
			for i := range requests {
				before := totalRequests(targets)
				f, body := entries[i%3], fmt.Sprint("body ", i)
				f.call(http.MethodPost, "/stream/x", body, "Parts", parts, "Id", fmt.Sprint("r", i))
				sends += totalRequests(targets) - before
				machine.Suspend(150 * time.Millisecond)
				unlistCrashed(entries, targets, crashed)
				if f.call(http.MethodPost, "/stream/x", "sound "+body, "Parts", "system,other").status == http.StatusOK {
					served++
				}
			}
			name := fmt.Sprint(parts, ", header first: ", afterHeader)
			assert.Check(t, sends <= crashes+sendsAfter, "%s: %d sends", name, sends)
			assert.Check(t, served == requests, "%s: %d of %d sound requests served", name, served, requests)
			last := entries[0].call(http.MethodPost, "/stream/x", "the last", "Parts", parts)
			assert.Check(t, last.status == http.StatusBadRequest && strings.Contains(last.body, string(ReasonCrashesTargets)), "%s: %d %s", name, last.status, last.body)
		}
	}
}

// Guards against a part of prompts that crashes targets and is not recognized while no request without
// it succeeds.
func TestPartOfPromptsIsQuarantinedThoughNothingElseIsSent(t *testing.T) {
	const crashes, sendsAfter = 5, 3
	for _, parts := range []string{"bad,system", "system,bad"} {
		for _, attempts := range []int{1, 2, 3} { // of each caller
			machine := clocktest.New(t)
			targets, crashed := newPromptCrashTargets(t, 40, false)
			entries := newSharedTableGateways(t, 3, targets)
			for i := range 30 {
				entries[i%3].call(http.MethodPost, "/stream/x", fmt.Sprint("body ", i/attempts), "Parts", parts, "Id", fmt.Sprint("r", i))
				machine.Suspend(150 * time.Millisecond)
				unlistCrashed(entries, targets, crashed)
			}
			sends := totalRequests(targets)
			assert.Check(t, sends <= crashes+sendsAfter, "%s, %d attempts: %d sends", parts, attempts, sends)
		}
	}
}

// Guards against a part that crashes targets and stands behind more parts than are examined.
func TestPartBehindManyOthersIsQuarantined(t *testing.T) {
	const crashes, sendsAfter = 5, 3
	for _, n := range []int{200, 2000} {
		machine := clocktest.New(t)
		targets, crashed := newPromptCrashTargets(t, 40, false)
		entries := newSharedTableGateways(t, 3, targets)
		sends, served := 0, 0
		for i := range 30 {
			before := totalRequests(targets)
			f, body := entries[i%3], fmt.Sprint("body ", i)
			f.call(http.MethodPost, "/stream/x", body, "Parts", manyParts(n, i)+",bad", "Id", fmt.Sprint("r", i))
			sends += totalRequests(targets) - before
			machine.Suspend(150 * time.Millisecond)
			unlistCrashed(entries, targets, crashed)
			if f.call(http.MethodPost, "/stream/x", "sound "+body, "Parts", manyParts(50, -i)).status == http.StatusOK {
				served++
			}
		}
		assert.Check(t, sends <= crashes+sendsAfter, "%d parts: %d sends", n, sends)
		assert.Check(t, served == 30, "%d parts: %d of 30 sound requests served", n, served)
	}
}

// manyParts returns a list of n parts of which only the first occurs in other requests.
func manyParts(n, request int) string {
	parts := []string{"system"}
	for k := range n - 1 {
		parts = append(parts, fmt.Sprintf("p%d-%d", request, k))
	}
	return strings.Join(parts, ",")
}

// Guards against sound prompts that are too long to be examined and clear the bad ones, and against a
// verdict on these that lasts.
func TestOverlongPromptsAreProbed(t *testing.T) {
	const crashes, sendsAfter = 5, 3
	machine := clocktest.New(t)
	targets, crashed := newPromptCrashTargets(t, 40, false)
	entries := newSharedTableGateways(t, 1, targets)
	call := func(i int, last string) answer {
		return entries[0].call(http.MethodPost, "/stream/x", fmt.Sprint("body ", i), "Parts", manyParts(2*testMaxParts, i)+","+last, "Id", fmt.Sprint("r", i))
	}
	for i := range 20 {
		call(2*i, "bad")
		machine.Suspend(150 * time.Millisecond)
		unlistCrashed(entries, targets, crashed)
		call(2*i+1, "sound")
	}
	n := 0
	for i := range targets {
		if crashed(i) {
			n++
		}
	}
	assert.Check(t, n > 0 && n <= crashes+sendsAfter, "%d targets ended", n)
	machine.Suspend(time.Minute)
	assert.Equal(t, call(100, "sound").status, http.StatusOK)
	assert.Equal(t, call(101, "sound").status, http.StatusOK)
}

// Guards against parts of prompts that crowd out the contents of other requests at the same target.
func TestCrashesOfAllRequestsAtATargetAreReported(t *testing.T) {
	const requests, partsEach = 48, 40
	table := quarantine.NewTable()
	e := newCrashDetector(table, "host", logrus.New())
	i := fleet.Instance{ID: "i-0", Addr: newTarget(t, okHandler).addr()}
	hasher, now := quarantine.NewHasher(""), time.Now()
	for n := range requests {
		subjects := []quarantine.Fingerprint{{byte(n), 1}}
		for k := range partsEach {
			subjects = append(subjects, hasher.Part("s", fmt.Sprintf("%d-%d", n, k)))
		}
		e.recordLoss(i, subjects, now, now)
	}
	e.mu.Lock()
	e.markEnded(e.suspects[incarnationOf(i)], "test")
	e.mu.Unlock()
	u, _ := table.Changes(0, 1)
	assert.Equal(t, len(u.Crashes), requests*(1+partsEach))
}
