package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// limited names a limit of 1 request a second on all answers of a target.
func limited(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Limit", "1")
		h(w, r)
	}
}

// leaving says on all answers of a target that it leaves.
func leaving(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Leaving", "1")
		h(w, r)
	}
}

func TestLimitIsHeardFromEachKindOfAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		path string
		h    http.HandlerFunc
		want float64
	}{
		"plain":            {"/unsafe/x", ok, 1},
		"stream":           {"/stream/x", events(3, 3), 1},
		"failure":          {"/unsafe/x", failure, 1},
		"not run":          {"/unsafe/x", notRunAnswer, 1},
		"another instance": {"/unsafe/x", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }, 0},
		"not signed":       {"/unsafe/x", func(http.ResponseWriter, *http.Request) {}, 0},
	} {
		f := newFront(t, newTarget(t, limited(c.h)))
		f.call(http.MethodPost, c.path, "")
		assert.Equal(t, f.gateway.book.ReportOf("i-0").Limit.PerS, c.want, name)
	}
}

// A target that had named a limit got requests as before.
func TestTargetThatNamedALimitGetsNoMore(t *testing.T) {
	x, free := newTarget(t, limited(ok)), newTarget(t, ok)
	f := newFront(t, x, free)
	for i := range 40 {
		assert.Equal(t, f.call(http.MethodPost, "/unsafe/x", "", "Id", fmt.Sprint("r", i)).status, http.StatusOK)
	}
	const allowed = 1.5*4*1 + 5 // in 4 s
	assert.Assert(t, x.count() <= allowed, "%d requests", x.count())
	assert.Equal(t, x.count()+free.count(), 40)
}

// If no target takes one more soon enough, the caller is told so at once.
func TestRequestThatNoTargetTakesIsRefusedAtOnce(t *testing.T) {
	x := newTarget(t, limited(ok))
	f := newFront(t, x)
	assert.Equal(t, f.call(http.MethodPost, "/unsafe/x", "").status, http.StatusOK)
	a := f.call(http.MethodPost, "/unsafe/x", "", "Left-Ms", "20000")
	assert.Equal(t, a.status, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(a.body, string(ReasonPaced)), a.body)
	assert.Assert(t, a.header.Get("Retry-After") != "")
	assert.Equal(t, x.count(), 1)
}

// A target that had said in an answer that it leaves got requests as before, because the
// list went on naming it as ready.
func TestTargetThatSaidItLeavesGetsNoMore(t *testing.T) {
	for path, h := range map[string]http.HandlerFunc{"/unsafe/x": ok, "/stream/x": events(3, 3), "/safe/x": failure} {
		x, stays := newTarget(t, leaving(h)), newTarget(t, h)
		f := newFront(t, x, stays)
		for i := range 10 {
			f.call(http.MethodPost, path, "", "Id", fmt.Sprint("r", i))
		}
		assert.Equal(t, x.count(), 1, path)
	}
}

// resting turns requests away and asks for 3 s of rest.
func resting(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.Header().Set("Rest-Ms", "3000")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// A target that turned requests away and asked for rest had no load, and got most of what
// came.
func TestTargetThatAskedForRestGetsNoMore(t *testing.T) {
	const before, meanwhile = 3, 20
	var x *target
	x = newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		if x.count() > before {
			resting(w, r)
			return
		}
		ok(w, r)
	})
	free := newTarget(t, ok)
	f := newFront(t, x, free)
	for i := range before + meanwhile {
		assert.Equal(t, f.call(http.MethodPost, "/unsafe/x", "", "Id", fmt.Sprint("r", i)).status, http.StatusOK)
	}
	assert.Equal(t, x.count(), before+1)
	assert.Equal(t, free.count(), meanwhile)
}

// If all targets rest, callers are refused at once and told when the first is to be back.
func TestAllTargetsRest(t *testing.T) {
	x, y := newTarget(t, resting), newTarget(t, resting)
	f := newFront(t, x, y)
	for i := range 10 {
		a := f.call(http.MethodPost, "/unsafe/x", "", "Id", fmt.Sprint("r", i), "Left-Ms", "2000")
		assert.Equal(t, a.status, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, i == 0 || after > 2, "%v", after)
	}
	assert.Equal(t, x.count()+y.count(), 2)
}
