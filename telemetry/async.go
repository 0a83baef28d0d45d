package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// asyncLines is how many log lines of about 300 bytes may wait for the output,
// 0.6 MB. Lines are gathered for asyncPause and written in one batch, so that at
// most 640 KiB leave a second.
const (
	asyncLines = 2048
	asyncPause = 100 * time.Millisecond
	asyncBatch = 64 << 10
	// asyncReserve is how many of the lines that may wait are kept for warnings
	// and errors: a request that failed is asked about, one that was answered is
	// not.
	asyncReserve = asyncLines / 4
)

// AsyncWriter passes log lines on without ever blocking the caller. Lines that
// do not fit are dropped and counted, and the count is logged.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
}

// NewAsyncWriter starts a writer to w.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, asyncLines)}
	go a.run(w)
	return a
}

// Write implements io.Writer.
func (a *AsyncWriter) Write(p []byte) (int, error) {
	if len(a.lines) >= asyncLines-asyncReserve && isInfo(p) {
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

// infoLevels are how a line of level info or debug begins or names its level in
// the formats of NewLogger.
var infoLevels = [][]byte{[]byte(`"level":"info"`), []byte(`"level":"debug"`), []byte("level=info"), []byte("level=debug")}

func isInfo(line []byte) bool {
	for _, l := range infoLevels {
		if bytes.Contains(line, l) {
			return true
		}
	}
	return false
}

// Dropped returns how many lines were dropped.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

func (a *AsyncWriter) run(w io.Writer) {
	var buf []byte
	said := int64(0)
	for line := range a.lines {
		buf = append(buf[:0], line...)
		time.Sleep(asyncPause)
		buf = a.drain(buf)
		if n := a.dropped.Load(); n > said {
			buf = fmt.Appendf(buf, "{\"level\":\"warning\",\"part\":\"log\",\"msg\":\"Lines dropped.\",\"dropped\":%d}\n", n-said)
			said = n
		}
		// An output that fails has nowhere to be reported.
		_, _ = w.Write(buf)
	}
}

// drain appends the lines that wait, up to the size of a batch.
func (a *AsyncWriter) drain(buf []byte) []byte {
	for len(buf) < asyncBatch {
		select {
		case line := <-a.lines:
			buf = append(buf, line...)
		default:
			return buf
		}
	}
	return buf
}

// Flush waits until the lines that are there now have been taken, at most for
// limit.
func (a *AsyncWriter) Flush(limit time.Duration) {
	deadline := time.Now().Add(limit)
	for len(a.lines) > 0 && time.Now().Before(deadline) {
		time.Sleep(asyncPause / 10)
	}
	time.Sleep(asyncPause + asyncPause/2)
}
