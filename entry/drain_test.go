package entry_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/springgate/springgate/caller"
	"github.com/springgate/springgate/entry"
	"github.com/springgate/springgate/outcome"
	"github.com/springgate/springgate/standin"
	"gotest.tools/v3/assert"
)

// drainAtOnce makes a drain wait for no request.
func drainAtOnce(c *entry.Config) { c.DrainTimeout = time.Millisecond }

// drainAndStop drains the entry and ends it, as its process does.
func (f *testFleet) drainAndStop() {
	f.entry.Drain(f.t.Context())
	f.stopEntry()
}

// Guards against requests that get no answer because they run for longer than the drain of their entry.
func TestRequestThatOutlivesTheDrainIsAnswered(t *testing.T) {
	f := newFleet(t, 0, 0, drainAtOnce)
	slow, err := standin.NewPlain(loopback, standin.PlainConfig{Latency: time.Hour}, f.runs)
	assert.NilError(t, err)
	f.addHost(&testHost{name: "p0", url: slow.URL(), plain: slow})
	f.publishHosts()
	f.publish(0)
	answered := make(chan response, 1)
	go func() {
		a := f.call("plain", "long")
		for f.runs.Count("long") == 0 && a.err == nil { // the targets are not known yet
			a = f.call("plain", "long")
		}
		answered <- a
	}()
	f.waitFor("the request runs", func() bool { return f.runs.Count("long") > 0 })
	f.drainAndStop()
	a := <-answered
	assert.NilError(t, a.err)
	assert.Equal(t, a.status, http.StatusBadGateway)
	assert.Equal(t, a.problem.Outcome, outcome.Unknown)
	assert.Equal(t, a.problem.Reason, outcome.ShuttingDownRunning)
}

// Guards against requests that get no answer because their body is not whole when the drain ends.
func TestRequestWhoseBodyIsNotWholeWhenTheDrainEndsIsRefused(t *testing.T) {
	f := newFleet(t, 0, 1, drainAtOnce)
	f.publish(0)
	f.waitReady("plain")
	c, err := net.Dial("tcp", f.entry.CallerAddr())
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "POST /plain/x HTTP/1.1\r\nHost: h\r\n"+standin.CallHeader+": cut\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	assert.NilError(t, err)
	br := bufio.NewReader(c)
	_, err = http.ReadResponse(br, nil) // the entry reads the body
	assert.NilError(t, err)
	f.drainAndStop()
	resp, err := http.ReadResponse(br, nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, resp.Header.Get(caller.HeaderOutcome), string(outcome.NotRun))
	assert.Equal(t, f.runs.Count("cut"), 0)
}
