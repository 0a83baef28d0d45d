package agent

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/springgate/springgate/admission"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/configservice"
	"github.com/springgate/springgate/control"
	"github.com/springgate/springgate/hostlist"
	"github.com/springgate/springgate/idempotency"
	"github.com/springgate/springgate/intake"
	"github.com/springgate/springgate/outcome"
	"github.com/springgate/springgate/peer"
	"github.com/springgate/springgate/standin"
	"github.com/springgate/springgate/telemetry"
	"gotest.tools/v3/assert"
)

// newTestAgent returns an agent that runs requests on the target. The loops of its
// other parts are not started.
func newTestAgent(t *testing.T, target http.HandlerFunc) *Agent {
	t.Helper()
	log, err := telemetry.NewLogger(io.Discard, "error", telemetry.FormatText)
	assert.NilError(t, err)
	server := httptest.NewServer(target)
	platform, err := standin.NewPlatform("127.0.0.1:0")
	assert.NilError(t, err)
	a, err := New(Config{Control: control.Config{Host: "h", Addr: "127.0.0.1:0"}, TargetURL: server.URL},
		configservice.New(platform.URL()), hostlist.New(platform.URL()), log)
	assert.NilError(t, err)
	a.requests.intake = intake.New(idempotency.Config{}, clock.Now().Add(-time.Minute))
	a.requests.intake.Configure(clock.Now(), admission.Limits{Concurrency: 1, Queue: 10}, []admission.TeamLimits{{Name: "blue"}})
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		a.requests.loop.Run(ctx)
		close(ended)
	}()
	t.Cleanup(func() {
		stop()
		<-ended
		a.server.Close()
		a.pool.Close()
		platform.Close()
		server.Close()
	})
	return a
}

// dispatch admits an attempt with an idempotency key.
func (a *Agent) dispatch(t *testing.T, try uint16, key string) beginResult {
	t.Helper()
	now := clock.Now()
	h := intake.HostState{HasIntent: true, Awake: true, Ready: true, Service: "s", HomeHistory: idempotency.HomeHistory{Self: "h",
		KnownSince: now.Add(-time.Hour), CurrentHosts: []string{"h"}}}
	d := &peer.Dispatch{Attempt: peer.Attempt{Try: try}, Service: "s", Team: "blue", Method: http.MethodPost, URI: "/x",
		Key: key, TimeoutMs: time.Minute.Milliseconds()}
	var b beginResult
	assert.NilError(t, a.requests.loop.Call(func() { b = a.requests.admit(h, d, false) }))
	return b
}

// readAnswer reads an answer to its end and returns the last part.
func readAnswer(ctx context.Context, ans *answer) answerPart {
	offset, head := int64(0), true
	for {
		p, err := ans.next(ctx, offset, head)
		if err != nil || p.end != nil || p.failure != "" {
			return p
		}
		head = head && p.head == nil
		offset += int64(len(p.data))
	}
}

// A caller that has received the end of an answer and repeats the request must get that
// answer again or the reason why it is not available. If the record of the attempt were
// written after the answer's end, the repeat could be refused because the request seems to
// be running still.
func TestRecordIsWrittenBeforeAnswerEnds(t *testing.T) {
	const recordDelay = 100 * time.Millisecond // how long the loop, which writes the record, is blocked
	for name, c := range map[string]struct {
		answer http.HandlerFunc
		ends   outcome.Reason
		again  intake.Decision
	}{
		"complete": {
			answer: func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") },
			again:  intake.Decision{Action: intake.Replay, Source: idempotency.AttemptID{Try: 1}},
		},
		"truncated": {
			answer: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", "10")
				_, _ = io.WriteString(w, "cut")
			},
			ends:  outcome.Truncated,
			again: intake.Decision{Action: intake.Refuse, Reason: outcome.KeyAnswerGone, RetryAfter: intake.MinRetryAfter},
		},
	} {
		t.Run(name, func(t *testing.T) {
			held, release := make(chan struct{}), make(chan struct{})
			a := newTestAgent(t, func(w http.ResponseWriter, r *http.Request) {
				<-held
				c.answer(w, r)
			})
			key := uuid.Must(uuid.NewV7()).String()
			first := a.dispatch(t, 1, key)
			assert.Equal(t, first.Action, intake.Run)
			go a.execute(nil, first.attempt)
			a.requests.loop.Post(func() {
				close(held)
				<-release
			})
			got := make(chan answerPart, 1)
			go func() { got <- readAnswer(t.Context(), first.attempt.answer) }()
			select {
			case p := <-got:
				close(release)
				t.Fatalf("answer ended before its record was written: %+v", p)
			case <-time.After(recordDelay):
			}
			close(release)
			p := <-got
			assert.Equal(t, p.failure, c.ends)
			assert.DeepEqual(t, a.dispatch(t, 2, key).Decision, c.again)
		})
	}
}
