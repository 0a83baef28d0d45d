package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// asyncQueueLines is the capacity of the queue in lines; a line has about 300 bytes, so
// the queue takes about 0.6 MB. Lines are collected for asyncBatchDelay and written in
// batches of about asyncBatchBytes, which limits the output to 640 KiB/s.
const (
	asyncQueueLines = 2048
	asyncBatchDelay = 100 * time.Millisecond
	asyncBatchBytes = 64 << 10
	// asyncReservedLines is the part of the queue, in lines, reserved for warnings and errors:
	// operators look for failed requests, not for answered ones.
	asyncReservedLines = asyncQueueLines / 4
)

// AsyncWriter writes log lines to an output without blocking the caller. Lines that
// do not fit into the queue are dropped and counted, and the count is logged.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
}

// NewAsyncWriter returns a writer to w and starts its goroutine.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, asyncQueueLines)}
	go a.run(w)
	return a
}

// Write implements io.Writer.
func (a *AsyncWriter) Write(p []byte) (int, error) {
	if len(a.lines) >= asyncQueueLines-asyncReservedLines && isInfo(p) {
		a.dropped.Add(1)
		return len(p), nil
	}
	select {
	case a.lines <- append([]byte(nil), p...):
	default:
		a.dropped.Add(1)
	}
	return len(p), nil
}

// infoLevels are the texts by which a line of level info or debug is recognised in the
// formats of NewLogger.
var infoLevels = [][]byte{[]byte(`"level":"info"`), []byte(`"level":"debug"`), []byte("level=info"), []byte("level=debug")}

func isInfo(line []byte) bool {
	for _, l := range infoLevels {
		if bytes.Contains(line, l) {
			return true
		}
	}
	return false
}

// Dropped returns the number of dropped lines.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

func (a *AsyncWriter) run(w io.Writer) {
	var buf []byte
	reported := int64(0)
	for line := range a.lines {
		buf = append(buf[:0], line...)
		time.Sleep(asyncBatchDelay)
		buf = a.drain(buf)
		if n := a.dropped.Load(); n > reported {
			buf = fmt.Appendf(buf, "{\"level\":\"warning\",\"part\":\"log\",\"msg\":\"Lines dropped.\",\"dropped\":%d}\n", n-reported)
			reported = n
		}
		// There is no other output to which a write error could be reported.
		_, _ = w.Write(buf)
	}
}

// drain appends queued lines until the batch is full or the queue is empty.
func (a *AsyncWriter) drain(buf []byte) []byte {
	for len(buf) < asyncBatchBytes {
		select {
		case line := <-a.lines:
			buf = append(buf, line...)
		default:
			return buf
		}
	}
	return buf
}

// Flush waits until the queue is empty, but not longer than limit, and then 1.5 times
// asyncBatchDelay for the batch in progress to be written.
func (a *AsyncWriter) Flush(limit time.Duration) {
	deadline := time.Now().Add(limit)
	for len(a.lines) > 0 && time.Now().Before(deadline) {
		time.Sleep(asyncBatchDelay / 10)
	}
	time.Sleep(asyncBatchDelay + asyncBatchDelay/2)
}
