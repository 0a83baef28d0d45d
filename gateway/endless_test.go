package gateway

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against events without end, which an entry keeps until they are complete.
func TestEndlessEventIsGivenUp(t *testing.T) {
	const most = 16 * maxEvent // with what the kernel buffers
	for name, part := range map[string]string{
		"line":     strings.Repeat("x", 32*kib),
		"lines":    strings.Repeat("data: x\n", 4*kib),
		"comments": strings.Repeat(":\n", 16*kib),
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			ended := make(chan struct{})
			f := newMemoryGateway(t, 8*mib, newTarget(t, func(w http.ResponseWriter, _ *http.Request) {
				defer close(ended)
				w.Header().Set("Signed", "by the target")
				w.WriteHeader(http.StatusOK)
				for sent.Load() < 4*most {
					n, err := io.WriteString(w, part)
					if sent.Add(int64(n)); err != nil {
						return
					}
				}
			}))
			a := f.call(http.MethodPost, "/stream/x", "b")
			assert.Equal(t, a.status, http.StatusBadGateway)
			<-ended
			assert.Assert(t, sent.Load() < most, "%d bytes sent", sent.Load())
			f.expectNothingHeld()
		})
	}
}
