package caller

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/springgate/springgate/outcome"
	"gotest.tools/v3/assert"
)

func newRequest(target string, header ...string) *http.Request {
	r := httptest.NewRequest(http.MethodPost, target, nil)
	for i := 0; i < len(header); i += 2 {
		r.Header.Add(header[i], header[i+1])
	}
	return r
}

func TestParse(t *testing.T) {
	cases := []struct {
		r    *http.Request
		want Request
	}{
		{newRequest("/assistant/v1/x?y=1"), Request{Service: "assistant", URI: "/v1/x?y=1", Repeatable: true, Urgency: 3}},
		{newRequest("/assistant"), Request{Service: "assistant", URI: "/", Repeatable: true, Urgency: 3}},
		{newRequest("/assistant?y=1"), Request{Service: "assistant", URI: "/?y=1", Repeatable: true, Urgency: 3}},
		{newRequest("/a%2Fb/c", HeaderService, "s"), Request{Service: "s", URI: "/a%2Fb/c", Repeatable: true, Urgency: 3}},
		{newRequest("/", HeaderService, "s", HeaderRepeatable, "no", HeaderTeam, "t", HeaderTimeout, "30s", HeaderPriority, "u=1, i"),
			Request{Service: "s", Team: "t", URI: "/", Urgency: 1, Timeout: 30 * time.Second}},
		{newRequest("/", HeaderService, "s", HeaderIdempotencyKey, `"abc"`), Request{Service: "s", URI: "/", Key: "abc", Repeatable: true, Urgency: 3}},
		{newRequest("/", HeaderService, "s", HeaderPriority, "u=99"), Request{Service: "s", URI: "/", Repeatable: true, Urgency: 3}},
	}
	for _, c := range cases {
		got, err := Parse(c.r)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, c.want)
	}
}

func TestParseRejectsInvalidHeaders(t *testing.T) {
	for _, h := range [][]string{
		{HeaderRepeatable, "maybe"}, {HeaderTimeout, "5"}, {HeaderTimeout, "-1s"}, {HeaderTimeout, "2h"},
		{HeaderIdempotencyKey, ""}, {HeaderTeam, "a b"}, {HeaderTeam, "a", HeaderTeam, "b"}, {HeaderService, "\xff"},
	} {
		_, err := Parse(newRequest("/s", h...))
		assert.ErrorIs(t, err, ErrHeader, "%q", h)
		assert.ErrorContains(t, err, h[0])
	}
}

func TestProblemDocument(t *testing.T) {
	for _, i := range outcome.All() {
		w := httptest.NewRecorder()
		WriteProblem(w, Refusal{Outcome: i.Outcome, Reason: i.Reason, RetryAfter: 1500 * time.Millisecond, RequestID: "r"})
		assert.Equal(t, w.Code, i.Status)
		assert.Equal(t, w.Header().Get("Content-Type"), ProblemType)
		assert.Equal(t, w.Header().Get(HeaderOutcome), string(i.Outcome))
		assert.Equal(t, w.Header().Get(HeaderReason), string(i.Reason))
		want := "2"
		if !retryable(i.Status) {
			want = ""
		}
		assert.Equal(t, w.Header().Get("Retry-After"), want, "%s", i.Reason)
		var p Problem
		assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &p))
		assert.Equal(t, p.Reason, i.Reason)
	}
}

func FuzzParse(f *testing.F) {
	f.Add("/assistant/x?y", "no", "30s", "u=1", "k")
	f.Add("/", "", "", "", "")
	f.Fuzz(func(t *testing.T, path, repeatable, timeout, priority, key string) {
		r, err := http.NewRequest(http.MethodGet, "http://h", nil)
		assert.NilError(t, err)
		r.URL.Path = path
		r.Header[HeaderRepeatable] = []string{repeatable}
		r.Header[HeaderTimeout] = []string{timeout}
		r.Header[HeaderPriority] = []string{priority}
		r.Header[HeaderIdempotencyKey] = []string{key}
		req, err := Parse(r)
		if err != nil {
			return
		}
		assert.Assert(t, req.URI != "" && req.Urgency >= 0 && req.Urgency <= maxUrgency && req.Timeout <= maxTimeout)
		assert.Equal(t, req.Repeatable, repeatable != "no")
	})
}
