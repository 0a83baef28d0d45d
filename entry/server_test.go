package entry_test

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"testing"

	"github.com/springgate/springgate/standin"
	"gotest.tools/v3/assert"
)

// By default go-zero ends the process in which it runs 5.5 s after SIGTERM. A
// stream that takes longer than that must still complete.
func TestStreamSurvivesLibrarySignalHandler(t *testing.T) {
	f := newFleet(t, 1, 0)
	f.publish(0)
	f.waitFor("version 0", f.allServe(0))
	f.waitReady("engine")
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM)
	defer signal.Stop(signals)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+f.entry.CallerAddr()+"/engine/x?tokens=6500", nil)
	assert.NilError(t, err)
	r.Header.Set(standin.CallHeader, "long")
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	<-signals
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(string(b), "data: long "), 6500)
	assert.Equal(t, f.call("engine", "after").status, http.StatusOK, "the listener must still accept requests")
	select {
	case <-signals: // the programs exit immediately on a second signal
		t.Fatal("the library sent a second SIGTERM to the process")
	default:
	}
}

// By default go-zero limits request bodies to 1 MB and the duration of responses
// to 3 s. Neither limit may apply to the entry.
func TestLibraryLimitsAreDisabled(t *testing.T) {
	f := newFleet(t, 0, 1)
	f.publish(0)
	f.waitReady("plain")
	body := bytes.Repeat([]byte("x"), 3<<20)
	resp, err := http.Post("http://"+f.entry.CallerAddr()+"/plain/x", "text/plain", bytes.NewReader(body))
	assert.NilError(t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, bytes.Count(b, []byte("x")), len(body)+1, "the response must contain the body and the path")
}

func TestOperatorEndpoints(t *testing.T) {
	f := newFleet(t, 0, 1)
	get := func(path string) (int, string) {
		resp, err := http.Get("http://" + f.entry.CallerAddr() + path)
		assert.NilError(t, err)
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		return resp.StatusCode, string(b)
	}
	status, _ := get("/healthz")
	assert.Equal(t, status, http.StatusOK)
	status, _ = get("/readyz")
	assert.Equal(t, status, http.StatusServiceUnavailable, "no fleet file has been published")
	f.publish(0)
	f.waitReady("plain")
	status, _ = get("/readyz")
	assert.Equal(t, status, http.StatusOK)
	_, text := get("/metrics")
	for _, want := range []string{"springgate_refused_no_intent_total ", "springgate_requests_completed_total 1", "springgate_control_revision 1"} {
		assert.Assert(t, strings.Contains(text, want), want)
	}
	_, text = get("/status")
	assert.Assert(t, strings.Contains(text, `"host": "p0"`) && strings.Contains(text, `"ready": true`), text)
}
