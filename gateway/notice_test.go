package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/springgate/springgate/dispatch"
	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/notice"
	"gotest.tools/v3/assert"
)

// limited names a limit of 1 request a second on all answers of a target.
func limited(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Limit", "1")
		h(w, r)
	}
}

// believed returns the limit that the only target is believed to have named.
func (f *front) believed() float64 {
	c, v := f.gateway.book.Pick(time.Now(), "s", dispatch.Demand{Objective: time.Second}, nil)
	assert.Equal(f.t, v, dispatch.Chosen)
	f.gateway.book.Cancel(c.Target, dispatch.Demand{})
	return c.Limit.PerS
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
		if name == "another instance" {
			// The target gets no more requests; that its limit is news shows that none was heard.
			s := notice.Statement{Limit: notice.Limit{Named: true, PerS: 1}}
			assert.Assert(t, f.gateway.book.HearNotice(time.Now(), fleet.Instance{ID: "i-0"}, s, time.Now()).Limit, name)
			continue
		}
		assert.Equal(t, f.believed(), c.want, name)
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
