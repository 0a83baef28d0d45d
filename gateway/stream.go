package gateway

import (
	"bufio"
	"bytes"
	"io"
	"time"

	"github.com/springgate/springgate/bounded"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/dispatch"
)

// maxEvent bounds the size of one event in bytes.
const maxEvent = 1 << 20

// event is one complete event of a stream, as received.
type event struct {
	raw []byte
	id  string
}

// eventReader splits a stream into events, each terminated by an empty line.
type eventReader struct {
	r      *bufio.Reader
	memory *allocation
	large  int64 // reserved for the last event, if it is larger than requestOverhead covers
}

// maxSmallEvent is the size of an event in bytes that requestOverhead covers.
const maxSmallEvent = 4 << 10

// appendLine appends a part of an event. Its error is bounded.ErrNoMemory if there is no room for it.
func (e *eventReader) appendLine(raw, line []byte) ([]byte, error) {
	n := len(raw) + len(line)
	if n <= cap(raw) || n <= maxSmallEvent {
		return append(raw, line...), nil
	}
	size := int64(max(2*cap(raw), n))
	if !e.memory.Grow(size) {
		return raw, bounded.ErrNoMemory
	}
	raw = append(append(make([]byte, 0, size), raw...), line...)
	e.memory.Shrink(e.large)
	e.large = size
	return raw, nil
}

// next returns the next complete event; the memory of the one before is given back. It returns io.EOF if the stream ends between two
// events, and io.ErrUnexpectedEOF if it ends inside an event.
func (e *eventReader) next() (event, error) {
	var ev event
	e.memory.Shrink(e.large)
	e.large = 0
	for {
		begin := len(ev.raw)
		var err error
		if ev.raw, err = e.readLine(ev.raw); err != nil {
			return event{}, err
		}
		line := bytes.TrimRight(ev.raw[begin:], "\r\n")
		if len(line) == 0 {
			return ev, nil
		}
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok && len(id) <= maxSmallEvent {
			ev.id = string(bytes.TrimSpace(id))
		}
	}
}

// readLine reads the rest of a line and appends it to the event.
func (e *eventReader) readLine(raw []byte) ([]byte, error) {
	for {
		part, err := e.r.ReadSlice('\n')
		var memoryErr error
		if raw, memoryErr = e.appendLine(raw, part); memoryErr != nil {
			return raw, memoryErr
		}
		switch {
		case len(raw) > maxEvent:
			return raw, bufio.ErrBufferFull
		case err == nil:
			return raw, nil
		case err == bufio.ErrBufferFull: // of the reader
			continue
		case err == io.EOF && len(raw) > 0:
			return raw, io.ErrUnexpectedEOF
		}
		return raw, err
	}
}

// receiveFirstEvent reads the first event of a stream, or the end of a stream without events. If
// the stream ends with its connection, that end may be the target's own.
func (a *attempt) receiveFirstEvent() result {
	a.stream = &eventReader{r: bufio.NewReader(a.resp), memory: &a.memory}
	a.first, a.firstErr = a.stream.next()
	if a.firstErr == io.EOF && a.resp.Unframed() {
		a.firstErr = io.ErrUnexpectedEOF
	}
	return a.streamResult(a.firstErr)
}

// relayStream relays events, each as soon as it is complete.
func (a *attempt) relayStream() (next *attempt, res result) {
	for ev, err := a.first, a.firstErr; err != io.EOF; {
		if err := a.relayEvent(ev); err != nil {
			return nil, writeFailure(err)
		}
		a.awaitedAt = clock.Now()
		a.hedge.await(a.stallTimeout())
		ev, err = a.stream.next()
		res := a.streamResult(err)
		if winner := a.hedge.settle(res.reason == ReasonNone); winner != nil {
			return winner, a.supersededResult(res)
		}
		if res.reason != ReasonNone {
			return nil, res
		}
	}
	a.endStream()
	return nil, result{ran: true, sent: true}
}

// relayEvent writes an event to the caller.
func (a *attempt) relayEvent(ev event) error {
	x := a.x
	a.recordEvent()
	if !x.started {
		copyHeader(x.w.Header(), a.resp.Header)
		x.w.WriteHeader(a.resp.StatusCode)
		x.started = true
	}
	if err := x.write(ev.raw, true); err != nil {
		return err
	}
	x.events++
	if ev.id != "" {
		x.lastEvent = ev.id
	}
	return nil
}

// stallFactor is how many times the forecast gap between two events a stream may pause.
const stallFactor = 3

// stallTimeout is how long the stream may pause before another target is tried as well.
func (a *attempt) stallTimeout() time.Duration {
	return max(a.x.g.cfg.StallTimeout, 2*a.x.route.MaxGap, stallFactor*a.choice.Forecast.Gap)
}

// endStream completes the response. A stream without any event is relayed too.
func (a *attempt) endStream() {
	if !a.x.started {
		copyHeader(a.x.w.Header(), a.resp.Header)
		a.x.w.WriteHeader(a.resp.StatusCode)
	}
}

// streamResult converts the error of a read from the stream into a result. The end of the stream
// is no failure.
func (a *attempt) streamResult(err error) result {
	if err == nil || err == io.EOF {
		return result{}
	}
	res := a.failure(err)
	if res.reason == ReasonConnLost && a.events > 0 {
		res.reason = ReasonBrokenStream
	}
	return res
}

// recordEvent reports an event to the balancer and updates the histograms.
func (a *attempt) recordEvent() {
	now := clock.Now()
	x := a.x
	if x.events == 0 {
		x.firstEventDelay = now.Sub(x.start)
		observe(x.g.stats.firstEvent, x.firstEventDelay)
	}
	if a.events == 0 {
		observe(x.g.stats.forecastError, now.Sub(a.sentAt)-a.choice.Forecast.FirstEvent)
	}
	e := dispatch.Event{First: a.pendingPrefill, Prompt: x.call.Prompt, Delay: a.targetDelay(now), Pending: a.pending}
	if a.events == 0 {
		e.Forecast = a.choice.CostModelForecast()
	}
	if !a.lastEventAt.IsZero() {
		x.maxGap = max(x.maxGap, now.Sub(a.lastEventAt))
	}
	a.lastEventAt = now
	a.events++
	a.pending = x.g.balancer.RecordEvent(now, a.choice.Target, e)
	a.pendingPrefill = 0
}

// relayTolerance is how long relaying an event may take for the delay of the next one to tell how
// fast the target is: while the caller reads slowly, the target may have to wait.
const relayTolerance = 5 * time.Millisecond

// targetDelay returns how long the target took for the event that has just arrived, or zero if
// that is not known.
func (a *attempt) targetDelay(now time.Time) time.Duration {
	if a.events == 0 {
		return now.Sub(a.sentAt)
	}
	if a.awaitedAt.Sub(a.lastEventAt) > relayTolerance {
		return 0
	}
	return now.Sub(a.lastEventAt)
}
