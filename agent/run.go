package agent

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/idempotency"
	"github.com/springgate/springgate/intake"
	"github.com/springgate/springgate/outcome"
	"github.com/springgate/springgate/peer"
	"github.com/springgate/springgate/target"
)

// readSize is the size of the buffer for reads from a target, in bytes.
const readSize = 16 << 10

// keyFenceTimeout bounds the calls to all earlier homes of an idempotency key together. The
// home of a key is the host that keeps its record.
const keyFenceTimeout = 2 * time.Second

// handleDispatch serves one attempt from its arrival to its end.
func (a *Agent) handleDispatch(ctx context.Context, s *peer.Stream, d *peer.Dispatch) {
	switch b := a.begin(ctx, d); b.Action {
	case intake.Refuse:
		a.refuse(ctx, s, d.Attempt, b.Reason, b.RetryAfter)
	case intake.Replay:
		a.send(ctx, s, d.Attempt, b.answer, 0, true, true)
	case intake.Run, intake.Wait:
		a.serve(ctx, s, b.attempt)
	}
}

// begin registers an attempt. If needed, it first fences the key at its earlier homes.
func (a *Agent) begin(ctx context.Context, d *peer.Dispatch) beginResult {
	stopped := beginResult{Decision: intake.Decision{Action: intake.Refuse, Reason: outcome.ShuttingDown}}
	var b beginResult
	if a.requests.loop.Call(func() { b = a.requests.begin(d, false) }) != nil {
		return stopped
	}
	if b.Action != intake.FenceHomes {
		return b
	}
	fenced := a.fenceEarlierHomes(ctx, d, b.Homes)
	if a.requests.loop.Call(func() {
		if fenced {
			b = a.requests.begin(d, true)
		} else {
			b.Decision = a.requests.intake.FencingFailed(clock.Now(), attemptOf(d, time.Time{}))
		}
	}) != nil {
		return stopped
	}
	return b
}

// fenceEarlierHomes ensures that the key has not run and cannot run at any earlier home.
// It reports false if a home cannot be reached or has a record of the key.
func (a *Agent) fenceEarlierHomes(ctx context.Context, d *peer.Dispatch, homes []string) bool {
	ctx, cancel := clock.WithTimeout(ctx, keyFenceTimeout)
	defer cancel()
	for _, h := range homes {
		m, ok := a.node.Snapshot().Member(h)
		if !ok {
			return false
		}
		reply, err := a.pool.Call(ctx, m.Addr, peer.Control, &peer.KeyFence{Service: d.Service, Team: d.Team, Key: d.Key})
		if err != nil {
			return false
		}
		if r, ok := reply.(*peer.KeyFenceReply); !ok || !r.Fenced {
			return false
		}
	}
	return true
}

func (a *Agent) handleKeyFence(ctx context.Context, s *peer.Stream, m *peer.KeyFence) {
	reply := &peer.KeyFenceReply{}
	k := idempotency.KeyID{Service: m.Service, Team: m.Team, Key: m.Key}
	if a.requests.loop.Call(func() { reply.Known = a.requests.intake.FenceKey(clock.Now(), k) }) != nil {
		return
	}
	reply.Fenced = !reply.Known
	_ = s.SendLast(ctx, reply)
}

func (a *Agent) handleFence(ctx context.Context, s *peer.Stream, m *peer.Fence) {
	var reply *peer.FenceReply
	if a.requests.loop.Call(func() { reply = a.requests.fence(m) }) == nil {
		_ = s.SendLast(ctx, reply)
	}
}

// handleResume sends the remaining part of an answer on a new stream.
func (a *Agent) handleResume(ctx context.Context, s *peer.Stream, m *peer.Resume) {
	var att *attempt
	if a.requests.loop.Call(func() { att = a.requests.attempts[attemptID(m.Attempt)] }) != nil {
		return
	}
	if att == nil {
		a.refuse(ctx, s, m.Attempt, outcome.TargetFailed, 0)
		return
	}
	att.attach(ctx)
	a.send(ctx, s, m.Attempt, att.answer, m.Offset, m.NeedHead, false)
}

func (a *Agent) refuse(ctx context.Context, s *peer.Stream, id peer.Attempt, reason outcome.Reason, after time.Duration) {
	a.reasons.Refused(reason)
	_ = s.SendLast(ctx, &peer.Refuse{Attempt: id, Reason: reason, RetryAfterMs: after.Milliseconds()})
}

// serve waits until a queued attempt may run, runs it and sends its answer.
func (a *Agent) serve(ctx context.Context, s *peer.Stream, att *attempt) {
	select {
	case v := <-att.admissionResult:
		if v.Reason != "" {
			a.refuse(ctx, s, att.dispatch.Attempt, v.Reason, v.RetryAfter)
			return
		}
	case <-ctx.Done():
		queued := false
		_ = a.requests.loop.Call(func() { queued = a.requests.cancelQueued(att) })
		if queued {
			return
		}
		if v := <-att.admissionResult; v.Reason != "" {
			return
		}
	}
	att.attach(ctx)
	go a.execute(s, att)
	go a.awaitDelivery(att)
	a.send(ctx, s, att.dispatch.Attempt, att.answer, 0, true, false)
}

// awaitDelivery delays the end of a drain until the answer has been delivered to an entry,
// but for at most Config.ResumeGrace after the request's deadline.
func (a *Agent) awaitDelivery(att *attempt) {
	defer a.active.Done()
	limit := clock.Until(att.deadline) + a.cfg.ResumeGrace
	t := clock.NewTimer(limit)
	defer t.Stop()
	select {
	case <-att.answer.delivered:
	case <-t.C:
	}
}

// execute runs the request on the target and fills its answer. While no stream to an entry
// is attached, the request continues for at most Config.ResumeGrace.
func (a *Agent) execute(s *peer.Stream, att *attempt) {
	ctx, cancel := clock.WithDeadline(a.ctx, att.deadline)
	defer cancel()
	go a.cancelAbandoned(ctx, cancel, att)
	resp, err := a.target.Do(ctx, a.targetRequest(ctx, s, att.dispatch))
	if err != nil {
		a.handleTargetError(ctx, att, err)
		return
	}
	defer resp.Body.Close()
	a.finish(att, a.relay(ctx, att, resp))
	a.statusChanged()
}

// finish ends a request that ran. failure is the reason why its answer is incomplete, or
// "". The attempt's record is written before the end of the answer, because a caller that
// has received the end may repeat its key immediately.
func (a *Agent) finish(att *attempt, failure outcome.Reason) {
	_ = a.requests.loop.Call(func() { a.requests.recordFinished(att, failure == "") })
	if failure != "" {
		att.answer.fail(failure)
		return
	}
	att.answer.end()
}

func (a *Agent) handleTargetError(ctx context.Context, att *attempt, err error) {
	if errors.Is(err, target.ErrNotConnected) && ctx.Err() == nil {
		_ = a.requests.loop.Call(func() { a.requests.recordNotRun(att, outcome.TargetUnreachable) })
		att.answer.fail(outcome.TargetUnreachable)
		return
	}
	a.finish(att, a.failureReason(ctx))
}

// failureReason distinguishes an exceeded deadline and a caller that disconnected from a
// failure of the target.
func (a *Agent) failureReason(ctx context.Context) outcome.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return outcome.DeadlineExceededRunning
	case ctx.Err() != nil:
		return outcome.CallerLeft
	}
	return outcome.TargetFailed
}

func (a *Agent) targetRequest(ctx context.Context, s *peer.Stream, d *peer.Dispatch) target.Request {
	req := target.Request{Method: d.Method, URI: d.URI, Length: d.BodyLength}
	for _, f := range d.Header {
		req.Header = append(req.Header, target.Field(f))
	}
	if d.HasBody {
		req.Body = &bodyReader{ctx: ctx, stream: s, received: a.weights.down.recordLive}
	}
	return req
}

// relay copies the target's answer into the buffer of the attempt. It returns the reason
// why the answer is incomplete, or "".
func (a *Agent) relay(ctx context.Context, att *attempt, resp *http.Response) outcome.Reason {
	head := &peer.Head{Attempt: att.dispatch.Attempt, Status: resp.StatusCode, Version: resp.Header.Get(target.LoadoutHeader)}
	if want := a.supervisor.readiness().loadout; want != "" && head.Version != "" && head.Version != want {
		return outcome.VersionMixed
	}
	for _, f := range target.EndToEnd(resp.Header) {
		head.Header = append(head.Header, peer.HeaderField(f))
	}
	att.answer.setHead(head)
	buf := make([]byte, readSize)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 && att.answer.write(ctx, buf[:n]) != nil {
			return a.failureReason(ctx)
		}
		switch {
		case errors.Is(err, io.EOF):
			return ""
		case ctx.Err() != nil:
			return a.failureReason(ctx)
		case err != nil:
			return outcome.Truncated
		}
	}
}

// cancelAbandoned cancels a request whose caller has disconnected, or to which no entry
// has been attached for longer than the resume grace.
func (a *Agent) cancelAbandoned(ctx context.Context, cancel context.CancelFunc, att *attempt) {
	for {
		callerLeft := att.waitDetached(ctx)
		if ctx.Err() != nil {
			return
		}
		if callerLeft {
			cancel()
			return
		}
		t := clock.NewTimer(a.cfg.ResumeGrace)
		select {
		case <-att.reattached():
			t.Stop()
		case <-t.C:
			cancel()
			return
		case <-ctx.Done():
			t.Stop()
			return
		}
	}
}

// send sends an answer, starting at offset, on a stream until the answer ends. If needHead
// is set, the head is sent first. replay marks the head as that of an earlier run.
func (a *Agent) send(ctx context.Context, s *peer.Stream, id peer.Attempt, ans *answer, offset int64, needHead, replay bool) {
	for {
		p, err := ans.next(ctx, offset, needHead)
		switch {
		case errors.Is(err, errNotHeld):
			a.refuse(ctx, s, id, outcome.TargetFailed, 0)
			return
		case err != nil:
			return
		}
		done, err := a.sendPart(ctx, s, id, p, offset, replay)
		if err == nil && done {
			ans.markDelivered()
		}
		if err != nil || done {
			return
		}
		needHead = needHead && p.head == nil
		offset += int64(len(p.data))
	}
}

func (a *Agent) sendPart(ctx context.Context, s *peer.Stream, id peer.Attempt, p answerPart, offset int64, replay bool) (bool, error) {
	switch {
	case p.head != nil:
		h := *p.head
		h.Attempt, h.Replay = id, replay
		return false, s.Send(ctx, &h)
	case p.failure != "":
		a.refuse(ctx, s, id, p.failure, intake.MinRetryAfter)
		return true, nil
	case p.end != nil:
		err := s.SendLast(ctx, &peer.End{Attempt: id, Length: p.end.Length, Sum: p.end.Sum})
		return true, err
	}
	a.weights.up.recordLive(len(p.data))
	return false, s.Send(ctx, &peer.Data{Attempt: id, Offset: offset, Data: p.data})
}
