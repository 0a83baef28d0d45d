package telemetry

import (
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// An output that is not read must not block callers. Lines are dropped and counted, and
// the count is logged once the output is read again.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, w := io.Pipe()
		a := NewAsyncWriter(w)
		for range 3 * asyncQueueLines {
			_, err := a.Write([]byte("{\"msg\":\"line\"}\n"))
			assert.NilError(t, err)
		}
		assert.Assert(t, a.Dropped() > 0)
		var mu sync.Mutex
		var got strings.Builder
		go func() {
			b := make([]byte, 1<<16)
			for {
				n, err := r.Read(b)
				if err != nil {
					return
				}
				mu.Lock()
				got.Write(b[:n])
				mu.Unlock()
			}
		}()
		time.Sleep(10 * time.Second)
		_, _ = a.Write([]byte("{\"msg\":\"last\"}\n"))
		time.Sleep(time.Second)
		mu.Lock()
		defer mu.Unlock()
		assert.Assert(t, strings.Contains(got.String(), "Lines dropped."))
		assert.Assert(t, strings.HasSuffix(got.String(), "{\"msg\":\"last\"}\n"))
		r.Close()
		close(a.lines)
	})
}

// Lines of level info are dropped before warnings, so that failed requests are still
// logged under overload.
func TestWarningsTakePrecedenceOverInfo(t *testing.T) {
	a := &AsyncWriter{lines: make(chan []byte, asyncQueueLines)} // no reader
	for range 2 * asyncQueueLines {
		_, err := a.Write([]byte(`{"level":"info","msg":"Answered."}`))
		assert.NilError(t, err)
	}
	assert.Equal(t, len(a.lines), asyncQueueLines-asyncReservedLines)
	for range asyncReservedLines {
		_, err := a.Write([]byte(`{"level":"warning","msg":"Not answered."}`))
		assert.NilError(t, err)
	}
	assert.Equal(t, len(a.lines), asyncQueueLines)
	assert.Equal(t, a.Dropped(), int64(asyncQueueLines+asyncReservedLines))
}
