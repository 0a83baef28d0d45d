package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/springgate/springgate/caller"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/httpclient"
	"github.com/springgate/springgate/idempotency"
	"github.com/springgate/springgate/intent"
	"github.com/springgate/springgate/loop"
	"github.com/springgate/springgate/membership"
	"github.com/springgate/springgate/outcome"
	"github.com/springgate/springgate/peer"
	"github.com/springgate/springgate/routing"
	"github.com/springgate/springgate/submission"
)

const (
	// resultGrace is how long after the deadline the entry waits for the
	// agent to report the result, since only the agent can prove that a
	// request did not run.
	resultGrace = 250 * time.Millisecond
	// fenceTimeout bounds one fence call, which queries an agent for the state
	// of an attempt.
	fenceTimeout = time.Second
	// fenceBackoff is the back-off before the second fence call; it doubles for
	// each further one.
	fenceBackoff = 100 * time.Millisecond
)

// exchange processes one request from arrival to outcome. Package submission
// makes the decisions; exchange performs the I/O for the actions it returns.
type exchange struct {
	entry       *Entry
	w           http.ResponseWriter
	r           *http.Request
	id          [16]byte
	req         caller.Request
	svc         *intent.Service
	body        *requestBody
	fingerprint [32]byte
	arrived     time.Time
	deadline    time.Time // the caller's deadline

	machine     *submission.Machine
	host        membership.Member   // of the current attempt
	endpoint    *routing.Endpoint   // counters of that host; nil if it was chosen as the home of an idempotency key
	incarnation uint64              // process start of that host's agent
	tried       []string            // hosts selected so far, excluded from further selection
	stream      *peer.Stream        // of the current attempt
	bodyErr     chan outcome.Reason // failure to read the request body
	lastMessage peer.Message        // last message received, to be forwarded
	retries     int
	firstByte   time.Duration // time to the first byte of the response
	written     int64
	status      int
	fences      int // fence calls since the last one that was answered
}

// run executes the actions of the submission until it finishes.
func (x *exchange) run(ctx context.Context) submission.Action {
	m, act := submission.New(submission.Request{Repeatable: x.req.Repeatable,
		Keyed: x.req.Key != "", MaxTries: x.maxTries()})
	x.machine = m
	defer x.release(false)
	for act.Kind != submission.Finish {
		act = x.perform(ctx, act)
	}
	x.release(act.Outcome == outcome.Completed)
	return act
}

// maxTries returns 1 for a streamed body, which cannot be sent again, and 0
// for the default limit otherwise.
func (x *exchange) maxTries() int {
	if x.body.streamed() {
		return 1
	}
	return 0
}

func (x *exchange) perform(ctx context.Context, act submission.Action) submission.Action {
	switch act.Kind {
	case submission.Choose:
		return x.choose(ctx)
	case submission.Dispatch:
		return x.dispatch(ctx)
	case submission.Fence:
		return x.fence(ctx)
	case submission.Resume:
		return x.resume(ctx, act.Offset)
	case submission.Backoff:
		return x.backOff(ctx, act.Reason)
	case submission.Forward:
		if err := x.forward(); err != nil {
			return x.machine.Abandon(outcome.CallerLeft)
		}
	}
	return x.next(ctx)
}

// choose selects the host for the next attempt.
func (x *exchange) choose(ctx context.Context) submission.Action {
	if act, ended := x.ended(ctx); ended {
		return act
	}
	now := clock.Now()
	s := x.entry.node.Snapshot()
	if !x.entry.node.Awake(now) {
		return x.machine.NoHost(outcome.Stale, time.Second)
	}
	if x.req.Key != "" {
		return x.chooseHome(s.Member)
	}
	t := x.entry.targets.table(x.svc.Name)
	if t == nil {
		return x.machine.NoHost(outcome.NoCandidate, time.Second)
	}
	c := x.pick(now, t)
	if c == nil {
		return x.machine.NoHost(outcome.NoCandidate, time.Second)
	}
	x.endpoint = c.Endpoint
	x.host = membership.Member{Listed: membership.Listed{Host: c.Endpoint.Host, Addr: c.Endpoint.Addr, Domain: c.Endpoint.Domain}}
	x.tried = append(x.tried, x.host.Host)
	return x.machine.HostChosen()
}

// pick selects a candidate. For a service with prefix affinity it prefers the
// host that the prefix of the request body maps to.
func (x *exchange) pick(now time.Time, t *routing.Table) *routing.Candidate {
	n := min(x.svc.AffinityBytes, len(x.body.buffered))
	if n == 0 {
		return t.Pick(now, x.entry.rng(), x.tried)
	}
	return t.PickPrefix(now, x.entry.rng(), string(x.body.buffered[:n]), x.tried)
}

// chooseHome selects the host that keeps the record of the idempotency key.
func (x *exchange) chooseHome(member func(string) (membership.Member, bool)) submission.Action {
	k := idempotency.KeyID{Service: x.svc.Name, Team: x.req.Team, Key: x.req.Key}
	m, ok := member(idempotency.Home(k, x.svc.HostNames()))
	if !ok {
		return x.machine.NoHost(outcome.HomeUnreachable, time.Second)
	}
	x.host, x.endpoint = m, nil
	return x.machine.HostChosen()
}

// dispatch sends the request to the chosen host.
func (x *exchange) dispatch(ctx context.Context) submission.Action {
	x.release(false)
	c, err := x.entry.pool.Get(ctx, x.host.Addr, peer.Traffic)
	if err != nil {
		x.recordResult(false)
		return x.machine.NotSent(outcome.ConnectFailed)
	}
	if x.endpoint != nil {
		x.endpoint.Started()
	}
	x.incarnation = c.Remote().Incarnation
	x.stream, err = c.Open(ctx, x.dispatchMessage())
	if err != nil {
		return x.machine.ConnectionLost()
	}
	if x.body.present() {
		x.bodyErr = make(chan outcome.Reason, 1)
		go x.body.send(ctx, x.stream, x.bodyErr)
	}
	return x.next(ctx)
}

func (x *exchange) dispatchMessage() *peer.Dispatch {
	return &peer.Dispatch{Attempt: x.attempt(), Incarnation: x.incarnation, Revision: x.entry.node.Snapshot().Revision(),
		Service: x.svc.Name, Team: x.req.Team, Method: x.r.Method, URI: x.req.URI, Header: forwardedHeader(x.r),
		Key: x.req.Key, Fingerprint: x.fingerprint, Repeatable: x.req.Repeatable, Urgency: uint8(x.req.Urgency),
		TimeoutMs: clock.Until(x.deadline).Milliseconds(), HasBody: x.body.present(), BodyLength: x.body.length}
}

func (x *exchange) attempt() peer.Attempt { return peer.Attempt{ID: x.id, Try: x.machine.Try()} }

// next receives the next message from the stream and passes it to the state
// machine.
func (x *exchange) next(ctx context.Context) submission.Action {
	m, err := x.stream.Recv(ctx)
	if err != nil {
		return x.streamFailed(ctx)
	}
	return x.received(m)
}

// received passes a message of the stream to the state machine.
func (x *exchange) received(m peer.Message) submission.Action {
	x.lastMessage = m
	switch m := m.(type) {
	case *peer.Head:
		if !httpclient.ValidStatus(m.Status) { // an agent of an earlier release does not check it
			return x.machine.Refused(x.tryOf(m.Attempt), outcome.TargetFailed, 0)
		}
		return x.machine.Head(x.tryOf(m.Attempt))
	case *peer.Data:
		return x.machine.Data(x.tryOf(m.Attempt), m.Offset, m.Data)
	case *peer.End:
		return x.machine.End(x.tryOf(m.Attempt), m.Length, m.Sum)
	case *peer.Refuse:
		return x.machine.Refused(x.tryOf(m.Attempt), m.Reason, time.Duration(m.RetryAfterMs)*time.Millisecond)
	}
	return submission.Action{}
}

// tryOf returns the try number, the number of the attempt, of a frame. For a frame of
// another submission it returns 0, which is not a valid try number.
func (x *exchange) tryOf(a peer.Attempt) uint16 {
	if a.ID != x.id {
		return 0
	}
	return a.Try
}

// streamFailed handles an error of the stream. It distinguishes a lost
// connection from a failure to read the request body, a disconnected caller and
// an expired deadline, which also end the stream.
func (x *exchange) streamFailed(ctx context.Context) submission.Action {
	select {
	case reason := <-x.bodyErr:
		return x.machine.Abandon(reason)
	default:
	}
	if act, ended := x.ended(ctx); ended {
		return act
	}
	return x.machine.ConnectionLost()
}

// ended reports whether the caller has disconnected, the drain has timed out or the
// deadline has passed, with the resulting action.
func (x *exchange) ended(ctx context.Context) (submission.Action, bool) {
	switch {
	case x.r.Context().Err() != nil:
		return x.machine.Abandon(outcome.CallerLeft), true
	case x.entry.stopping.Err() != nil:
		return x.machine.EntryStopped(), true
	case ctx.Err() != nil:
		return x.machine.DeadlineExceeded(), true
	}
	return submission.Action{}, false
}

// fence queries the state of the current attempt at its agent. If the attempt has
// not arrived there yet, the agent bars it from running.
func (x *exchange) fence(ctx context.Context) submission.Action {
	x.release(false)
	if x.fences > 0 {
		loop.Sleep(ctx, fenceBackoff<<min(x.fences-1, 4))
	}
	x.fences++
	if act, ended := x.ended(ctx); ended {
		return act
	}
	ctx, cancel := clock.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	c, err := x.entry.pool.Get(ctx, x.host.Addr, peer.Traffic)
	if err != nil {
		return x.machine.FenceFailed()
	}
	if c.Remote().Incarnation != x.incarnation {
		return x.machine.FenceResult(x.machine.Try(), submission.FenceGone, "")
	}
	m, err := c.Call(ctx, &peer.Fence{Attempt: x.attempt(), Incarnation: x.incarnation})
	if err != nil {
		c.Close() // the connection may be stalled
		return x.machine.FenceFailed()
	}
	reply, ok := m.(*peer.FenceReply)
	if !ok {
		return x.machine.FenceFailed()
	}
	x.fences = 0
	return x.machine.FenceResult(x.machine.Try(), fenceState(reply.State), reply.Reason)
}

func fenceState(s peer.AttemptState) submission.FenceState {
	switch s {
	case peer.AttemptFenced, peer.AttemptRefused:
		return submission.FenceNotRun
	case peer.AttemptRunning, peer.AttemptFinished:
		return submission.FenceRunning
	case peer.AttemptAnswerDiscarded:
		return submission.FenceFailed
	}
	return submission.FenceGone
}

// resume requests the response from offset on a new stream.
func (x *exchange) resume(ctx context.Context, offset int64) submission.Action {
	c, err := x.entry.pool.Get(ctx, x.host.Addr, peer.Traffic)
	if err != nil {
		return x.machine.ConnectionLost()
	}
	if x.endpoint != nil {
		x.endpoint.Started()
	}
	x.stream, err = c.Open(ctx, &peer.Resume{Attempt: x.attempt(), Offset: offset, NeedHead: x.status == 0})
	if err != nil {
		return x.machine.ConnectionLost()
	}
	x.entry.count.resumed.Inc(1)
	return x.next(ctx)
}

// backOff waits before the next attempt if the retry budget allows one.
func (x *exchange) backOff(ctx context.Context, reason outcome.Reason) submission.Action {
	x.release(false)
	if !x.entry.retryBudget(x.svc.Name).Spend(clock.Now()) {
		x.entry.reasons.Refused(outcome.RetryBudget)
		return x.machine.BackoffElapsed(false)
	}
	x.retries++
	x.entry.reasons.Retried(reason)
	loop.Sleep(ctx, routing.Backoff(x.retries, x.entry.rng()))
	if act, ended := x.ended(ctx); ended {
		return act
	}
	return x.machine.BackoffElapsed(true)
}

// forward writes the last message received, the head or data of the response, to
// the caller.
func (x *exchange) forward() error {
	switch m := x.lastMessage.(type) {
	case *peer.Head:
		x.firstByte = clock.Since(x.arrived)
		x.status = m.Status
		x.writeHead(m)
		return nil
	case *peer.Data:
		n, err := x.w.Write(m.Data)
		x.written += int64(n)
		if err != nil {
			return errors.Wrap(err, "entry: write response")
		}
	}
	if f, ok := x.w.(http.Flusher); ok {
		f.Flush()
	}
	return nil
}

func (x *exchange) writeHead(m *peer.Head) {
	h := x.w.Header()
	for _, f := range m.Header {
		h.Add(f.Name, f.Value)
	}
	h.Set(caller.HeaderRequestID, x.requestID())
	h.Set(caller.HeaderHost, x.host.Host)
	if m.Version != "" {
		h.Set(caller.HeaderVersion, m.Version)
	}
	if m.Replay {
		h.Set(caller.HeaderReplayed, "yes")
	}
	x.w.WriteHeader(m.Status)
}

// release closes the current stream and updates the counters of its host. The
// attempt counts as successful if ok is set or a response head was received.
func (x *exchange) release(ok bool) {
	if x.stream == nil {
		return
	}
	x.stream.Close()
	x.stream = nil
	x.recordResult(ok || x.status != 0)
}

func (x *exchange) recordResult(ok bool) {
	if x.endpoint != nil && x.endpoint.Finished(ok, x.entry.cfg.Routing.EjectAfter) {
		x.entry.targets.scheduleRebuild()
	}
}

// rng returns a random number generator for use by a single goroutine.
func (e *Entry) rng() *rand.Rand { return rand.New(globalSource{}) }

// globalSource draws from the runtime's random number generator, which is safe
// for concurrent use.
type globalSource struct{}

// Uint64 implements rand.Source.
func (globalSource) Uint64() uint64 { return rand.Uint64() }
