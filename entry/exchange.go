package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/springgate/springgate/caller"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/idempotency"
	"github.com/springgate/springgate/intent"
	"github.com/springgate/springgate/loop"
	"github.com/springgate/springgate/membership"
	"github.com/springgate/springgate/outcome"
	"github.com/springgate/springgate/peer"
	"github.com/springgate/springgate/routing"
	"github.com/springgate/springgate/submission"
)

// Times of an exchange.
const (
	// verdictGrace is how long after the deadline the agent's own verdict is
	// awaited: only it can prove that a request did not run.
	verdictGrace = 250 * time.Millisecond
	// fenceTimeout bounds one question about an attempt.
	fenceTimeout = time.Second
	// fenceBase is the wait before the second question; it doubles.
	fenceBase = 100 * time.Millisecond
)

// exchange carries one request from the caller to its outcome. The decisions
// are made by submission; exchange does the I/O that it asks for.
type exchange struct {
	entry   *Entry
	w       http.ResponseWriter
	r       *http.Request
	id      [16]byte
	req     caller.Request
	svc     *intent.Service
	body    *requestBody
	print   [32]byte
	arrived time.Time
	until   time.Time // the caller's deadline

	machine  *submission.Machine
	host     membership.Member   // of the current attempt
	endpoint *routing.Endpoint   // nil for a home outside the subset
	candInc  uint64              // incarnation of the current attempt
	tried    []string            // hosts that have been tried
	stream   *peer.Stream        // of the current attempt
	bodyErr  chan outcome.Reason // an error while the body was sent
	message  peer.Message        // to be forwarded
	retries  int
	first    time.Duration // time to the first byte of the answer
	written  int64
	status   int
	fences   int
}

// run drives the submission to its end.
func (x *exchange) run(ctx context.Context) submission.Action {
	m, act := submission.New(submission.Request{Repeatable: x.req.Repeatable,
		Keyed: x.req.Key != "", MaxTries: x.maxTries()})
	x.machine = m
	defer x.release(false)
	for act.Kind != submission.Finish {
		act = x.do(ctx, act)
	}
	x.release(act.Outcome == outcome.Completed)
	return act
}

// maxTries is one for a body too large to be held for another try.
func (x *exchange) maxTries() int {
	if x.body.streamed() {
		return 1
	}
	return 0
}

func (x *exchange) do(ctx context.Context, act submission.Action) submission.Action {
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
		return x.wait(ctx, act.Reason)
	case submission.Forward:
		if err := x.forward(); err != nil {
			return x.machine.Abandon(outcome.CallerLeft)
		}
	}
	return x.next(ctx)
}

// choose picks the host of the next attempt.
func (x *exchange) choose(ctx context.Context) submission.Action {
	if act, over := x.over(ctx); over {
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

// pick prefers the engine of the conversation, if the service asks for it.
func (x *exchange) pick(now time.Time, t *routing.Table) *routing.Candidate {
	n := min(x.svc.AffinityBytes, len(x.body.held))
	if n == 0 {
		return t.Pick(now, x.entry.rng(), x.tried)
	}
	return t.PickPrefix(now, x.entry.rng(), string(x.body.held[:n]), x.tried)
}

// chooseHome picks the one host that keeps the record of the key.
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
		x.settle(false)
		return x.machine.NotSent(outcome.ConnectFailed)
	}
	if x.endpoint != nil {
		x.endpoint.Started()
	}
	x.candInc = c.Remote().Incarnation
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
	return &peer.Dispatch{Attempt: x.attempt(), Incarnation: x.candInc, Revision: x.entry.node.Snapshot().Revision(),
		Service: x.svc.Name, Team: x.req.Team, Method: x.r.Method, URI: x.req.URI, Header: forwardedHeader(x.r),
		Key: x.req.Key, Fingerprint: x.print, Repeatable: x.req.Repeatable, Urgency: uint8(x.req.Urgency),
		TimeoutMs: clock.Until(x.until).Milliseconds(), HasBody: x.body.present(), BodyLength: x.body.length}
}

func (x *exchange) attempt() peer.Attempt { return peer.Attempt{ID: x.id, Try: x.machine.Try()} }

// next waits for the next message of the stream and gives it to the machine.
func (x *exchange) next(ctx context.Context) submission.Action {
	m, err := x.stream.Recv(ctx)
	if err != nil {
		return x.broken(ctx)
	}
	x.message = m
	switch m := m.(type) {
	case *peer.Head:
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

// tryOf returns the try number of a frame, or 0, which no attempt has, for a
// frame of another submission.
func (x *exchange) tryOf(a peer.Attempt) uint16 {
	if a.ID != x.id {
		return 0
	}
	return a.Try
}

// broken tells a broken connection from a caller that left, a body that could
// not be read, and the deadline.
func (x *exchange) broken(ctx context.Context) submission.Action {
	select {
	case reason := <-x.bodyErr:
		return x.machine.Abandon(reason)
	default:
	}
	if act, over := x.over(ctx); over {
		return act
	}
	return x.machine.ConnectionLost()
}

// over reports that the caller left or that the deadline has passed.
func (x *exchange) over(ctx context.Context) (submission.Action, bool) {
	switch {
	case x.r.Context().Err() != nil:
		return x.machine.Abandon(outcome.CallerLeft), true
	case ctx.Err() != nil:
		return x.machine.DeadlineExceeded(), true
	}
	return submission.Action{}, false
}

// fence asks the agent what became of the current attempt.
func (x *exchange) fence(ctx context.Context) submission.Action {
	x.release(false)
	if x.fences > 0 {
		loop.Sleep(ctx, fenceBase<<min(x.fences-1, 4))
	}
	x.fences++
	if act, over := x.over(ctx); over {
		return act
	}
	ctx, cancel := clock.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	c, err := x.entry.pool.Get(ctx, x.host.Addr, peer.Traffic)
	if err != nil {
		return x.machine.FenceFailed()
	}
	if c.Remote().Incarnation != x.candInc {
		return x.machine.FenceResult(x.machine.Try(), submission.FenceGone, "")
	}
	m, err := c.Call(ctx, &peer.Fence{Attempt: x.attempt(), Incarnation: x.candInc})
	if err != nil {
		c.Close() // it may be stalled
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

// resume asks for the rest of the answer on a new stream.
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

// wait backs off before another try, if the retry budget allows one.
func (x *exchange) wait(ctx context.Context, reason outcome.Reason) submission.Action {
	x.release(false)
	if !x.entry.budget(x.svc.Name).Spend(clock.Now()) {
		x.entry.reasons.Refused(outcome.RetryBudget)
		return x.machine.BackoffElapsed(false)
	}
	x.retries++
	x.entry.reasons.Retried(reason)
	loop.Sleep(ctx, routing.Backoff(x.retries, x.entry.rng()))
	if act, over := x.over(ctx); over {
		return act
	}
	return x.machine.BackoffElapsed(true)
}

// forward passes the head or a piece of the answer on to the caller.
func (x *exchange) forward() error {
	switch m := x.message.(type) {
	case *peer.Head:
		x.first = clock.Since(x.arrived)
		x.status = m.Status
		x.writeHead(m)
		return nil
	case *peer.Data:
		n, err := x.w.Write(m.Data)
		x.written += int64(n)
		if err != nil {
			return errors.Wrap(err, "entry: write answer")
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

// release gives up the current stream and settles the host's counters.
func (x *exchange) release(ok bool) {
	if x.stream == nil {
		return
	}
	x.stream.Close()
	x.stream = nil
	x.settle(ok || x.status != 0)
}

func (x *exchange) settle(ok bool) {
	if x.endpoint != nil && x.endpoint.Finished(ok, x.entry.cfg.Routing.EjectAfter) {
		x.entry.targets.failed()
	}
}

// rng returns a source of random numbers for one goroutine at a time.
func (e *Entry) rng() *rand.Rand { return rand.New(globalSource{}) }

// globalSource draws from the runtime's generator, which is safe for
// concurrent use.
type globalSource struct{}

// Uint64 implements rand.Source.
func (globalSource) Uint64() uint64 { return rand.Uint64() }
