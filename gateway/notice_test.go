package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// withLimit adds a limit of 1 request per second to all responses of a target.
func withLimit(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Limit", "1")
		h(w, r)
	}
}

// withLeaving adds to all responses of a target the announcement that it is leaving.
func withLeaving(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Leaving", "1")
		h(w, r)
	}
}

func TestLimitIsReadFromEachKindOfResponse(t *testing.T) {
	for name, c := range map[string]struct {
		path string
		h    http.HandlerFunc
		want float64
	}{
		"plain":            {"/unsafe/x", okHandler, 1},
		"stream":           {"/stream/x", streamHandler(3, 3), 1},
		"failure":          {"/unsafe/x", failHandler, 1},
		"not run":          {"/unsafe/x", notRunHandler, 1},
		"another instance": {"/unsafe/x", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }, 0},
		"not signed":       {"/unsafe/x", func(http.ResponseWriter, *http.Request) {}, 0},
	} {
		f := newTestGateway(t, newTarget(t, withLimit(c.h)))
		f.call(http.MethodPost, c.path, "")
		assert.Equal(t, f.gateway.balancer.ReportOf("i-0").Limit.PerS, c.want, name)
	}
}

// Guards against ignoring the limit that a target announced: such a target got requests as
// before.
func TestTargetWithALimitIsRateLimited(t *testing.T) {
	x, free := newTarget(t, withLimit(okHandler)), newTarget(t, okHandler)
	f := newTestGateway(t, x, free)
	for i := range 40 {
		assert.Equal(t, f.call(http.MethodPost, "/unsafe/x", "", "Id", fmt.Sprint("r", i)).status, http.StatusOK)
	}
	const allowed = 1.5*4*1 + 5 // requests within 4 s: 1.5 times the limit of 1 per second, plus 5
	assert.Assert(t, x.count() <= allowed, "%d requests", x.count())
	assert.Equal(t, x.count()+free.count(), 40)
}

// If no target accepts another request soon enough, the caller is refused at once.
func TestRequestIsRefusedAtOnceIfAllTargetsAreRateLimited(t *testing.T) {
	x := newTarget(t, withLimit(okHandler))
	f := newTestGateway(t, x)
	assert.Equal(t, f.call(http.MethodPost, "/unsafe/x", "").status, http.StatusOK)
	a := f.call(http.MethodPost, "/unsafe/x", "", "Left-Ms", "20000")
	assert.Equal(t, a.status, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(a.body, string(ReasonPaced)), a.body)
	assert.Assert(t, a.header.Get("Retry-After") != "")
	assert.Equal(t, x.count(), 1)
}

// Guards against relying on the target list alone: a target that had announced in a
// response that it was leaving got requests as before, because the list still showed it as
// ready.
func TestLeavingTargetGetsNoMoreRequests(t *testing.T) {
	for path, h := range map[string]http.HandlerFunc{"/unsafe/x": okHandler, "/stream/x": streamHandler(3, 3), "/safe/x": failHandler} {
		x, stays := newTarget(t, withLeaving(h)), newTarget(t, h)
		f := newTestGateway(t, x, stays)
		for i := range 10 {
			f.call(http.MethodPost, path, "", "Id", fmt.Sprint("r", i))
		}
		assert.Equal(t, x.count(), 1, path)
	}
}

// backOffHandler refuses requests and asks for a back-off of 3 s.
func backOffHandler(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.Header().Set("Rest-Ms", "3000")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Guards against ignoring a requested back-off: a target that refused requests had no
// load, and therefore got most of the new ones.
func TestBackOffOfATargetIsHonored(t *testing.T) {
	const before, meanwhile = 3, 20
	var x *target
	x = newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		if x.count() > before {
			backOffHandler(w, r)
			return
		}
		okHandler(w, r)
	})
	free := newTarget(t, okHandler)
	f := newTestGateway(t, x, free)
	for i := range before + meanwhile {
		assert.Equal(t, f.call(http.MethodPost, "/unsafe/x", "", "Id", fmt.Sprint("r", i)).status, http.StatusOK)
	}
	assert.Equal(t, x.count(), before+1)
	assert.Equal(t, free.count(), meanwhile)
}

// If all targets have asked for a back-off, callers are refused at once, with a
// Retry-After at which the first target is available again.
func TestRetryAfterIfAllTargetsBackOff(t *testing.T) {
	x, y := newTarget(t, backOffHandler), newTarget(t, backOffHandler)
	f := newTestGateway(t, x, y)
	for i := range 10 {
		a := f.call(http.MethodPost, "/unsafe/x", "", "Id", fmt.Sprint("r", i), "Left-Ms", "2000")
		assert.Equal(t, a.status, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, i == 0 || after > 2, "%v", after)
	}
	assert.Equal(t, x.count()+y.count(), 2)
}
