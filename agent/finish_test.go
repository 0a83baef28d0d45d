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

// runningAgent returns an agent whose requests run on the target; the rest of it stands still.
func runningAgent(t *testing.T, target http.HandlerFunc) *Agent {
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
func (a *Agent) dispatch(t *testing.T, try uint16, key string) begun {
	t.Helper()
	now := clock.Now()
	h := intake.HostState{HasIntent: true, Awake: true, Ready: true, Service: "s", HomeHistory: idempotency.HomeHistory{Self: "h",
		KnownSince: now.Add(-time.Hour), CurrentHosts: []string{"h"}}}
	d := &peer.Dispatch{Attempt: peer.Attempt{Try: try}, Service: "s", Team: "blue", Method: http.MethodPost, URI: "/x",
		Key: key, TimeoutMs: time.Minute.Milliseconds()}
	var b begun
	assert.NilError(t, a.requests.loop.Call(func() { b = a.requests.admit(h, d, false) }))
	return b
}

// readAnswer reads an answer to its end and returns what the reader got last.
func readAnswer(ctx context.Context, ans *answer) piece {
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

// Whoever has the end of an answer and sends the request again gets that answer, or is told
// why not; a record that is written later says that the request still runs.
func TestAnswerEndsAfterItsRecord(t *testing.T) {
	const record = 100 * time.Millisecond // how long the record waits for the loop
	for name, c := range map[string]struct {
		answer http.HandlerFunc
		ends   outcome.Reason
		again  intake.Decision
	}{
		"whole": {
			answer: func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") },
			again:  intake.Decision{Action: intake.Replay, Source: idempotency.AttemptID{Try: 1}},
		},
		"cut": {
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
			a := runningAgent(t, func(w http.ResponseWriter, r *http.Request) {
				<-held
				c.answer(w, r)
			})
			key := uuid.Must(uuid.NewV7()).String()
			first := a.dispatch(t, 1, key)
			assert.Equal(t, first.Action, intake.Run)
			go a.execute(nil, first.work)
			a.requests.loop.Post(func() {
				close(held)
				<-release
			})
			got := make(chan piece, 1)
			go func() { got <- readAnswer(t.Context(), first.work.answer) }()
			select {
			case p := <-got:
				close(release)
				t.Fatalf("the answer ended before its record: %+v", p)
			case <-time.After(record):
			}
			close(release)
			p := <-got
			assert.Equal(t, p.failure, c.ends)
			assert.DeepEqual(t, a.dispatch(t, 2, key).Decision, c.again)
		})
	}
}
