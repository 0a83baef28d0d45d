package gateway

import (
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/overload/memory"
)

// requestOverhead is what a request holds beside its body and its response, in bytes: the
// goroutines and buffers of the connections to its caller and its target, and headers.
const requestOverhead = 24 << 10

// errReaderStalled is the error of a request that the budget of bytes ends.
var errReaderStalled = errors.New("gateway: the caller has not read the response, and memory is short")

// phase is what a request does, as far as it may be ended when memory is short.
type phase uint8

const (
	phaseRunning phase = iota // does not wait for the caller
	phaseBody                 // the caller sends the body
	phaseWriting              // the caller reads the response
	phaseDone
)

// holding is the memory that one request holds. A nil holding is unlimited.
type holding struct {
	x      *exchange
	budget *memory.Budget
	bytes  *memory.Holding

	mu    sync.Mutex
	phase phase
}

// reserve reserves the first n bytes of the request. It reports whether the request may go on.
func (x *exchange) reserve(n int64) bool {
	budget := x.g.cfg.Memory
	if budget == nil {
		return true
	}
	h := &holding{x: x, budget: budget}
	var verdict memory.Verdict
	h.bytes, verdict = budget.Reserve(clock.Now(), x.teamName(), n, h.end)
	x.g.recordVerdict(verdict)
	if verdict != memory.Granted {
		return false
	}
	x.memory = h
	return true
}

// release gives back all bytes of the request.
func (x *exchange) release() {
	h := x.memory
	if h == nil {
		return
	}
	h.setPhase(phaseDone)
	h.budget.Release(h.bytes)
	x.g.logShortage(clock.Now())
}

// end cuts off the caller. The budget calls it on the goroutine of another request.
func (h *holding) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	control, now := http.NewResponseController(h.x.w), time.Now()
	// The errors are ignored: a connection without deadlines is closed by its timeouts.
	switch h.phase {
	case phaseBody:
		_ = control.SetReadDeadline(now)
	case phaseWriting:
		_ = control.SetWriteDeadline(now)
	}
}

func (h *holding) setPhase(p phase) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.phase = p
}

// await begins a phase in which the request waits for its caller. It returns false if the request
// has been ended.
func (h *holding) await(p phase) bool {
	if h == nil {
		return true
	}
	h.setPhase(p)
	return h.budget.Await(clock.Now(), h.bytes)
}

// progress records that the caller has sent or read n bytes.
func (h *holding) progress(n int) {
	if h != nil {
		h.budget.Progress(clock.Now(), h.bytes, int64(n))
	}
}

// proceed ends a phase. It returns false if the request has been ended.
func (h *holding) proceed() bool {
	if h == nil {
		return true
	}
	h.setPhase(phaseRunning)
	return h.budget.Proceed(h.bytes)
}

// allocation is a part of a request's memory that is used by one goroutine.
type allocation struct {
	h     *holding
	bytes int64
}

// Grow implements bounded.Memory.
func (a *allocation) Grow(n int64) bool {
	if a.h == nil {
		return true
	}
	verdict := a.h.budget.Grow(clock.Now(), a.h.bytes, n)
	a.h.x.g.recordVerdict(verdict)
	if verdict != memory.Granted {
		return false
	}
	a.bytes += n
	return true
}

// Shrink implements bounded.Memory.
func (a *allocation) Shrink(n int64) {
	if a.h != nil && n > 0 {
		a.h.budget.Shrink(a.h.bytes, n)
		a.bytes -= n
	}
}

// writeStep is how much is written to a caller at once, so that one that reads slowly is seen to
// make progress.
const writeStep = 16 << 10

// write writes a part of the response to the caller, and flushes it if flush is set. The end of a
// response without flush is sent by net/http when the request has been accounted for. After
// errReaderStalled the connection must be closed: a deadline that has passed may be set.
func (x *exchange) write(b []byte, flush bool) error {
	if !x.memory.await(phaseWriting) {
		return errReaderStalled
	}
	err := x.writeSteps(b)
	if err == nil && flush {
		err = http.NewResponseController(x.w).Flush()
	}
	if !x.memory.proceed() {
		return errReaderStalled
	}
	return err
}

func (x *exchange) writeSteps(b []byte) error {
	for len(b) > 0 {
		n, err := x.w.Write(b[:min(len(b), writeStep)])
		if err != nil {
			return err
		}
		x.memory.progress(n)
		b = b[n:]
	}
	return nil
}

// callerWriter writes a response to the caller and keeps the error.
type callerWriter struct {
	x   *exchange
	err error
}

// Write implements io.Writer.
func (w *callerWriter) Write(b []byte) (int, error) {
	if w.err = w.x.write(b, false); w.err != nil {
		return 0, w.err
	}
	return len(b), nil
}

// recordVerdict counts a refusal and logs when a shortage begins or ends.
func (g *Gateway) recordVerdict(v memory.Verdict) {
	switch v {
	case memory.NoRoom:
		g.stats.noRoom.Inc(1)
	case memory.OverShare:
		g.stats.overShare.Inc(1)
	default:
		return
	}
	g.logShortage(clock.Now())
}

// logShortage logs when room for requests gets short and when that has ended.
func (g *Gateway) logShortage(now time.Time) {
	change, s := g.cfg.Memory.ShortageChange(now)
	if change == memory.Unchanged {
		return
	}
	u := g.cfg.Memory.Usage()
	f := logrus.Fields{"budget": u.Budget, "small": u.Small, "large": u.Large, "large_limit": u.LargeLimit}
	if change == memory.ShortageBegan {
		g.log.WithFields(f).Warn("Memory for requests is short.")
		return
	}
	f["refused"], f["ended"], f["ms"] = s.Refused, s.Ended, now.Sub(s.Since).Milliseconds()
	g.log.WithFields(f).Info("Memory for requests is no longer short.")
}
