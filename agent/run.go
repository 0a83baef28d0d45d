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

// readSize is how much is read from a target at once.
const readSize = 16 << 10

// askTimeout bounds the question to an earlier home of a key.
const askTimeout = 2 * time.Second

// handleDispatch serves one attempt from its arrival to its end.
func (a *Agent) handleDispatch(ctx context.Context, s *peer.Stream, d *peer.Dispatch) {
	switch b := a.begin(ctx, d); b.Action {
	case intake.Refuse:
		a.refuse(ctx, s, d.Attempt, b.Reason, b.RetryAfter)
	case intake.Replay:
		a.send(ctx, s, d.Attempt, b.answer, 0, true, true)
	case intake.Run, intake.Wait:
		a.serve(ctx, s, b.work)
	}
}

// begin registers an attempt, asking the earlier homes of its key if needed.
func (a *Agent) begin(ctx context.Context, d *peer.Dispatch) begun {
	stopped := begun{Decision: intake.Decision{Action: intake.Refuse, Reason: outcome.ShuttingDown}}
	var b begun
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

// fenceEarlierHomes makes sure that the key neither ran nor can run at any
// earlier home. It reports false if one cannot be asked or knows the key.
func (a *Agent) fenceEarlierHomes(ctx context.Context, d *peer.Dispatch, homes []string) bool {
	ctx, cancel := clock.WithTimeout(ctx, askTimeout)
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

// handleResume sends the rest of an answer on a new connection.
func (a *Agent) handleResume(ctx context.Context, s *peer.Stream, m *peer.Resume) {
	var w *work
	if a.requests.loop.Call(func() { w = a.requests.works[attemptID(m.Attempt)] }) != nil {
		return
	}
	if w == nil {
		a.refuse(ctx, s, m.Attempt, outcome.TargetFailed, 0)
		return
	}
	w.attach(ctx)
	a.send(ctx, s, m.Attempt, w.answer, m.Offset, m.NeedHead, false)
}

func (a *Agent) refuse(ctx context.Context, s *peer.Stream, id peer.Attempt, reason outcome.Reason, after time.Duration) {
	a.reasons.Refused(reason)
	_ = s.SendLast(ctx, &peer.Refuse{Attempt: id, Reason: reason, RetryAfterMs: after.Milliseconds()})
}

// serve waits for an accepted attempt's turn, runs it and sends its answer.
func (a *Agent) serve(ctx context.Context, s *peer.Stream, w *work) {
	select {
	case v := <-w.verdict:
		if v.Reason != "" {
			a.refuse(ctx, s, w.dispatch.Attempt, v.Reason, v.RetryAfter)
			return
		}
	case <-ctx.Done():
		waiting := false
		_ = a.requests.loop.Call(func() { waiting = a.requests.cancelWaiting(w) })
		if waiting {
			return
		}
		if v := <-w.verdict; v.Reason != "" {
			return
		}
	}
	w.attach(ctx)
	go a.execute(s, w)
	go a.awaitDelivery(w)
	a.send(ctx, s, w.dispatch.Attempt, w.answer, 0, true, false)
}

// awaitDelivery keeps a draining agent alive until the answer has been sent
// to its end, or no entry has asked for it for the resume grace.
func (a *Agent) awaitDelivery(w *work) {
	defer a.active.Done()
	limit := clock.Until(w.deadline) + a.cfg.ResumeGrace
	t := clock.NewTimer(limit)
	defer t.Stop()
	select {
	case <-w.answer.delivered:
	case <-t.C:
	}
}

// execute runs the request on the target and fills its answer. It goes on
// without its stream until the resume grace has passed.
func (a *Agent) execute(s *peer.Stream, w *work) {
	ctx, cancel := clock.WithDeadline(a.ctx, w.deadline)
	defer cancel()
	go a.cancelAbandoned(ctx, cancel, w)
	resp, err := a.target.Do(ctx, a.targetRequest(ctx, s, w.dispatch))
	if err != nil {
		a.notAnswered(ctx, w, err)
		return
	}
	defer resp.Body.Close()
	a.finish(w, a.relay(ctx, w, resp))
	a.statusChanged()
}

// finish ends a request that ran; broken says why its answer is not whole. The record is
// written first: a caller that has the end may send its key again.
func (a *Agent) finish(w *work, broken outcome.Reason) {
	_ = a.requests.loop.Call(func() { a.requests.finished(w, broken == "") })
	if broken != "" {
		w.answer.fail(broken)
		return
	}
	w.answer.end()
}

func (a *Agent) notAnswered(ctx context.Context, w *work, err error) {
	if errors.Is(err, target.ErrNotConnected) && ctx.Err() == nil {
		_ = a.requests.loop.Call(func() { a.requests.notRun(w, outcome.TargetUnreachable) })
		w.answer.fail(outcome.TargetUnreachable)
		return
	}
	a.finish(w, a.brokenBy(ctx))
}

// brokenBy tells a deadline and a caller who left from a failing target.
func (a *Agent) brokenBy(ctx context.Context) outcome.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return outcome.DeadlineExceededRan
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
		req.Body = &bodyReader{ctx: ctx, stream: s, received: a.weights.down.live}
	}
	return req
}

// relay copies the target's answer into the buffer. It returns why the answer is not
// whole, or "".
func (a *Agent) relay(ctx context.Context, w *work, resp *http.Response) outcome.Reason {
	head := &peer.Head{Attempt: w.dispatch.Attempt, Status: resp.StatusCode, Version: resp.Header.Get(target.LoadoutHeader)}
	if want := a.supervisor.readiness().loadout; want != "" && head.Version != "" && head.Version != want {
		return outcome.VersionMixed
	}
	for _, f := range target.EndToEnd(resp.Header) {
		head.Header = append(head.Header, peer.HeaderField(f))
	}
	w.answer.setHead(head)
	buf := make([]byte, readSize)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 && w.answer.write(ctx, buf[:n]) != nil {
			return a.brokenBy(ctx)
		}
		switch {
		case errors.Is(err, io.EOF):
			return ""
		case ctx.Err() != nil:
			return a.brokenBy(ctx)
		case err != nil:
			return outcome.Truncated
		}
	}
}

// cancelAbandoned cancels a request whose caller left, or whose entry has been
// gone for longer than the resume grace.
func (a *Agent) cancelAbandoned(ctx context.Context, cancel context.CancelFunc, w *work) {
	for {
		left := w.waitDetached(ctx)
		if ctx.Err() != nil {
			return
		}
		if left {
			cancel()
			return
		}
		t := clock.NewTimer(a.cfg.ResumeGrace)
		select {
		case <-w.attached():
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

// send sends an answer from offset on a stream until it ends.
func (a *Agent) send(ctx context.Context, s *peer.Stream, id peer.Attempt, ans *answer, offset int64, needHead, replay bool) {
	for {
		p, err := ans.next(ctx, offset, needHead)
		switch {
		case errors.Is(err, errGone):
			a.refuse(ctx, s, id, outcome.TargetFailed, 0)
			return
		case err != nil:
			return
		}
		done, err := a.sendPiece(ctx, s, id, p, offset, replay)
		if err == nil && done {
			ans.deliver()
		}
		if err != nil || done {
			return
		}
		needHead = needHead && p.head == nil
		offset += int64(len(p.data))
	}
}

func (a *Agent) sendPiece(ctx context.Context, s *peer.Stream, id peer.Attempt, p piece, offset int64, replay bool) (bool, error) {
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
	a.weights.up.live(len(p.data))
	return false, s.Send(ctx, &peer.Data{Attempt: id, Offset: offset, Data: p.data})
}
