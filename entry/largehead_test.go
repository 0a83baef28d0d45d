package entry_test

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against callers whose heads together exceed the memory of the host.
func TestLargeHeadOfACallerIsRefused(t *testing.T) {
	f := newFleet(t, 0, 1)
	f.publish(0)
	f.waitReady("plain")
	for size, want := range map[int]int{32 << 10: http.StatusOK, 128 << 10: http.StatusRequestHeaderFieldsTooLarge} {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+f.entry.CallerAddr()+"/plain/x", nil)
		assert.NilError(t, err)
		r.Header.Set("Large", strings.Repeat("h", size))
		resp, err := http.DefaultClient.Do(r)
		assert.NilError(t, err)
		resp.Body.Close()
		assert.Equal(t, resp.StatusCode, want, "%d bytes", size)
	}
}
