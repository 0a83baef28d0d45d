package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/clock/clocktest"
	"gotest.tools/v3/assert"
)

// endsAtOnce makes a drain end its requests at once, long before the process is killed.
func endsAtOnce() ServerConfig {
	return ServerConfig{DrainTimeout: time.Minute, DrainMargin: time.Minute - time.Millisecond, AcceptFor: time.Millisecond}
}

// stop drains the server and closes its connections, as the end of the process does.
func (s *Server) stop() {
	s.Drain()
	for _, server := range s.servers {
		server.Close()
	}
}

// post sends a request of the named route and returns its status, or 0 if it got no answer, and
// the error of reading the body.
func post(t *testing.T, addr, route string, body io.Reader) (status int, err error) {
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+addr+"/"+route+"/x", body)
	assert.Check(t, err)
	r.Host = "h.example"
	r.Header.Set("Key", "secret")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return resp.StatusCode, err
}

// Guards against requests that get no answer because they are still at their target when the drain ends.
func TestRequestsStillAtTheirTargetWhenTheDrainEndsAreAnswered(t *testing.T) {
	for _, route := range []string{"safe", "unsafe", "stream"} {
		t.Run(route, func(t *testing.T) {
			started, release := make(chan struct{}), make(chan struct{})
			x := newTarget(t, func(http.ResponseWriter, *http.Request) {
				close(started)
				<-release
			})
			defer close(release)
			s := startServer(t, endsAtOnce(), x)
			answered := make(chan int, 1)
			go func() {
				status, err := post(t, s.callerAddr(), route, http.NoBody)
				assert.Check(t, err)
				answered <- status
			}()
			<-started
			s.stop()
			assert.Equal(t, <-answered, http.StatusBadGateway)
			assert.Equal(t, x.count(), 1)
		})
	}
}

// Guards against streams that look complete because the drain has ended them.
func TestStreamThatTheDrainEndsIsBrokenOff(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	x := newTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		writeSigned(w, http.StatusOK, eventText(1))
		w.(http.Flusher).Flush()
		close(started)
		<-release
	})
	defer close(release)
	s := startServer(t, endsAtOnce(), x)
	failed := make(chan error, 1)
	go func() {
		status, err := post(t, s.callerAddr(), "stream", http.NoBody)
		assert.Check(t, status == http.StatusOK)
		failed <- err
	}()
	<-started
	s.stop()
	assert.Assert(t, <-failed != nil)
}

// Guards against requests that get no answer because their body is not whole when the drain ends.
func TestRequestWhoseBodyIsNotWholeWhenTheDrainEndsIsRefused(t *testing.T) {
	x := newTarget(t, okHandler)
	s := startServer(t, endsAtOnce(), x)
	c, err := net.Dial("tcp", s.callerAddr())
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nKey: secret\r\nContent-Length: 2\r\n\r\nb")
	assert.NilError(t, err)
	for s.gateway.Inflight() == 0 {
		runtime.Gosched()
	}
	s.stop()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, x.count(), 0)
}

// Guards against requests that are passed on late in the drain although their like run for longer than
// what is left of it.
func TestRequestThatWouldOutliveTheDrainIsNotPassedOn(t *testing.T) {
	for _, route := range []string{"safe", "unsafe", "stream"} {
		t.Run(route, func(t *testing.T) {
			machine := clocktest.New(t)
			x := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
				machine.Suspend(10 * time.Second)
				streamHandler(1, 1)(w, r)
			})
			f := newTestGateway(t, x)
			call := func(left string) int {
				return f.call(http.MethodPost, "/"+route+"/x", "b", "Left-Ms", left).status
			}
			assert.Equal(t, call("25000"), http.StatusOK)
			f.gateway.Drain(clock.Now().Add(9 * time.Second))
			assert.Equal(t, call("25000"), http.StatusServiceUnavailable)
			assert.Equal(t, x.count(), 1)
		})
	}
}

// Guards against requests that are refused in a drain although they end within it, by their deadline
// at the latest.
func TestRequestThatEndsWithinTheDrainIsPassedOn(t *testing.T) {
	machine := clocktest.New(t)
	pause := 10 * time.Second
	x := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		machine.Suspend(pause)
		okHandler(w, r)
	})
	f := newTestGateway(t, x)
	call := func(left string) int {
		return f.call(http.MethodPost, "/unsafe/x", "b", "Left-Ms", left).status
	}
	assert.Equal(t, call("25000"), http.StatusOK)
	pause = 0
	f.gateway.Drain(clock.Now().Add(9 * time.Second))
	assert.Equal(t, call("8000"), http.StatusOK)
	assert.Equal(t, x.count(), 2)
}

// Guards against requests that must not be repeated and are passed on in a drain although nothing is
// known of how long their like run.
func TestUnknownRequestThatMayOutliveTheDrainIsNotPassedOn(t *testing.T) {
	x := newTarget(t, okHandler)
	f := newTestGateway(t, x)
	call := func(route, left string) int {
		return f.call(http.MethodPost, "/"+route+"/x", "b", "Left-Ms", left).status
	}
	f.gateway.Drain(clock.Now().Add(9 * time.Second))
	assert.Equal(t, call("unsafe", "25000"), http.StatusServiceUnavailable)
	assert.Equal(t, x.count(), 0)
	assert.Equal(t, call("unsafe", "5000"), http.StatusOK)
	assert.Equal(t, call("safe", "25000"), http.StatusOK)
}
