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

// An output that nobody reads never blocks those who log; lines are dropped,
// counted, and the count is told once the output is read again.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, w := io.Pipe()
		a := NewAsyncWriter(w)
		for range 3 * asyncLines {
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

// When lines must be dropped, those of requests that were answered go first.
func TestFailuresAreLoggedFirst(t *testing.T) {
	a := &AsyncWriter{lines: make(chan []byte, asyncLines)} // nobody reads
	for range 2 * asyncLines {
		_, err := a.Write([]byte(`{"level":"info","msg":"Answered."}`))
		assert.NilError(t, err)
	}
	assert.Equal(t, len(a.lines), asyncLines-asyncReserve)
	for range asyncReserve {
		_, err := a.Write([]byte(`{"level":"warning","msg":"Not answered."}`))
		assert.NilError(t, err)
	}
	assert.Equal(t, len(a.lines), asyncLines)
	assert.Equal(t, a.Dropped(), int64(asyncLines+asyncReserve))
}
