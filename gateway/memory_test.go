package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/springgate/springgate/bounded"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/clock/clocktest"
	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/mechanism"
	"github.com/springgate/springgate/overload/memory"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

const (
	kib          = 1 << 10
	mib          = 1 << 20
	largeBody    = 4 * mib
	entryBudget  = 48 * mib
	closedByPeer = "Connection: close"
)

// newMemoryGateway returns a gateway with a budget of bytes, for bodies of up to 4 MiB. Its routes
// have no timeout that a test could reach.
func newMemoryGateway(t *testing.T, budget int64, targets ...*target) *testGateway {
	f := newTestGateway(t, targets...)
	g := f.gateway
	list := routes()
	for _, r := range list {
		r.Timeout = 1000 * time.Hour
	}
	assert.Assert(t, g.SetConfig(fleet.NewConfig(2, list, []*fleet.Service{{Name: "s"}}, map[string]*fleet.Team{"secret": {Name: "blue"}, "other": {Name: "green"}},
		fleet.Limits{BodyBytes: largeBody})))
	g.cfg.Memory = memory.New(memory.Config{Bytes: budget})
	g.stats.watchMemory(g.cfg.Memory)
	return f
}

func (f *testGateway) usage() memory.Usage { return f.gateway.cfg.Memory.Usage() }

// expectNothingHeld waits until all requests have given back their bytes.
func (f *testGateway) expectNothingHeld() {
	f.t.Helper()
	f.waitFor("nothing is held", func() bool { u := f.usage(); return u.Small+u.Large == 0 })
}

func (f *testGateway) waitFor(what string, reached func() bool) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if reached() {
			return poll.Success()
		}
		return poll.Continue("%s: %+v", what, f.usage())
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(time.Minute))
}

// rawCaller is a caller that decides when it sends and reads.
type rawCaller struct {
	t  *testing.T
	nc net.Conn
	br *bufio.Reader
}

// dialCaller sends the header of a request. The last line says how long the body is.
func (f *testGateway) dialCaller(key, route, lengthLine string) *rawCaller {
	f.t.Helper()
	nc, err := net.Dial("tcp", f.server.Listener.Addr().String())
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { nc.Close() })
	c := &rawCaller{t: f.t, nc: nc, br: bufio.NewReader(nc)}
	c.send(fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: h.example\r\nId: r1\r\nKey: %s\r\n%s\r\n\r\n", route, key, lengthLine))
	return c
}

func (c *rawCaller) send(s string) {
	c.t.Helper()
	_, err := io.WriteString(c.nc, s)
	assert.NilError(c.t, err)
}

func (c *rawCaller) response() *http.Response {
	c.t.Helper()
	resp, err := http.ReadResponse(c.br, nil)
	assert.NilError(c.t, err)
	return resp
}

func length(n int) string { return fmt.Sprintf("Content-Length: %d", n) }

// uploadOneByteShort begins n uploads, each of which lacks its last byte, and returns the callers
// whose uploads were accepted; the others were refused before they sent anything.
func (f *testGateway) uploadOneByteShort(n int) (accepted []*rawCaller) {
	f.t.Helper()
	body := strings.Repeat("x", largeBody-1)
	for range n {
		before, refused := f.usage().Large, f.gateway.stats.noRoom.Count()+f.gateway.stats.overShare.Count()
		c := f.dialCaller("secret", "unsafe", length(largeBody))
		f.waitFor("the upload is accepted or refused", func() bool {
			return f.usage().Large > before || f.gateway.stats.noRoom.Count()+f.gateway.stats.overShare.Count() > refused
		})
		if f.usage().Large == before {
			expectRefusal(f.t, c.response())
			continue
		}
		c.send(body)
		accepted = append(accepted, c)
	}
	return accepted
}

// firstResponse returns the first response that any of the callers gets. Which upload stood still
// longest depends on when the gateway read the last bytes of each.
func firstResponse(callers []*rawCaller) *http.Response {
	responses := make(chan *http.Response, len(callers))
	for _, c := range callers {
		go func() {
			if resp, err := http.ReadResponse(c.br, nil); err == nil {
				responses <- resp
			}
		}()
	}
	return <-responses
}

func expectRefusal(t *testing.T, resp *http.Response) {
	t.Helper()
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, resp.Header.Get("Retry-After") != "")
	assert.Assert(t, resp.Close, "the body was not read")
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(b), "{\"status\":503,\"reason\":\"no_memory\"}\n")
}

// Callers that stop one byte short of a large body hold no more than the budget, and others are
// served meanwhile. When room is short, those that have stood still long are ended, with a status
// that promises that the request did not run.
func TestUploadsThatStandStill(t *testing.T) {
	machine := clocktest.New(t)
	x := newTarget(t, okHandler)
	f := newMemoryGateway(t, entryBudget, x)
	accepted := f.uploadOneByteShort(100)
	u := f.usage()
	assert.Assert(t, u.Large <= u.LargeLimit && u.Small+u.Large <= entryBudget, "%+v", u)
	assert.Equal(t, len(accepted), 5, "two thirds of 36 MiB in pieces of 4 MiB and the overhead")
	assert.Equal(t, f.call(http.MethodPost, "/unsafe/x", "small").status, http.StatusOK)

	large := strings.Repeat("y", largeBody)
	assert.Equal(t, f.call(http.MethodPost, "/unsafe/x", large, "Key", "other").status, http.StatusOK, "another team has its share")
	f.waitFor("room for the team", func() bool {
		machine.Suspend(2 * time.Second)
		return f.call(http.MethodPost, "/unsafe/x", large).status == http.StatusOK
	})
	resp := firstResponse(accepted)
	assert.Equal(t, resp.StatusCode, http.StatusRequestTimeout)
	assert.Assert(t, resp.Close)
	assert.Assert(t, f.gateway.stats.refused[ReasonBodyStalled].Count() > 0)
	for _, c := range accepted {
		c.nc.Close()
	}
	f.expectNothingHeld()
	assert.Equal(t, x.count(), 3, "none of the uploads ran")
}

// A caller that stands still is left alone while there is room.
func TestUploadThatStandsStillWhileThereIsRoom(t *testing.T) {
	machine := clocktest.New(t)
	f := newMemoryGateway(t, entryBudget, newTarget(t, okHandler))
	c := f.dialCaller("secret", "unsafe", length(largeBody))
	c.send(strings.Repeat("x", largeBody-1))
	f.waitFor("the upload is accepted", func() bool { return f.usage().Large > largeBody })
	machine.Suspend(time.Minute)
	assert.Equal(t, f.call(http.MethodPost, "/unsafe/x", strings.Repeat("y", mib)).status, http.StatusOK)
	c.send("x")
	assert.Equal(t, c.response().StatusCode, http.StatusOK)
	f.expectNothingHeld()
}

// A connection serves the next request after one whose body was read within the budget.
func TestConnectionIsKeptAfterALargeBody(t *testing.T) {
	x := newTarget(t, okHandler)
	f := newMemoryGateway(t, entryBudget, x)
	c := f.dialCaller("secret", "unsafe", length(largeBody))
	c.send(strings.Repeat("x", largeBody))
	resp := c.response()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	_, err := io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	c.send("GET /safe/y HTTP/1.1\r\nHost: h.example\r\nKey: secret\r\n\r\n")
	assert.Equal(t, c.response().StatusCode, http.StatusOK)
	assert.Equal(t, len(x.bodies[0]), largeBody)
	f.expectNothingHeld()
}

func sendChunks(c *rawCaller, size, n int) {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
	for range n {
		if _, err := io.WriteString(c.nc, chunk); err != nil {
			return // refused meanwhile
		}
	}
	_, _ = io.WriteString(c.nc, "0\r\n\r\n")
}

const chunked = "Transfer-Encoding: chunked"

func TestChunkedBodies(t *testing.T) {
	x := newTarget(t, okHandler)
	f := newMemoryGateway(t, entryBudget, x)
	c := f.dialCaller("secret", "unsafe", chunked)
	sendChunks(c, 64*kib, 64)
	assert.Equal(t, c.response().StatusCode, http.StatusOK)
	assert.Equal(t, x.bodies[0], strings.Repeat("x", largeBody))
	f.expectNothingHeld()

	c = f.dialCaller("secret", "unsafe", chunked)
	go sendChunks(c, 64*kib, 65)
	assert.Equal(t, c.response().StatusCode, http.StatusRequestEntityTooLarge)
	f.expectNothingHeld()
}

// A chunked body is refused when it no longer fits, and is never held beyond the budget.
func TestChunkedBodyWithoutRoom(t *testing.T) {
	x := newTarget(t, okHandler)
	f := newMemoryGateway(t, 2*mib, x)
	c := f.dialCaller("secret", "unsafe", chunked)
	go sendChunks(c, 64*kib, 64)
	expectRefusal(t, c.response())
	f.expectNothingHeld()
	c = f.dialCaller("secret", "unsafe", chunked)
	sendChunks(c, 16*kib, 1)
	assert.Equal(t, c.response().StatusCode, http.StatusOK)
	assert.Equal(t, x.count(), 1)
}

// A body that is too large by its length is refused before a byte of it is read.
func TestLengthOverTheLimitIsRefusedUnread(t *testing.T) {
	for _, f := range []*testGateway{newMemoryGateway(t, entryBudget, newTarget(t, okHandler)), newTestGateway(t, newTarget(t, okHandler))} {
		c := f.dialCaller("secret", "unsafe", length(largeBody+1))
		resp := c.response()
		assert.Equal(t, resp.StatusCode, http.StatusRequestEntityTooLarge)
		assert.Assert(t, resp.Close)
	}
}

// A caller that asks for the connection to be closed reads the refusal too, whatever it has sent.
func TestRefusalOfACallerThatClosesItsConnection(t *testing.T) {
	f := newMemoryGateway(t, mib, newTarget(t, okHandler))
	c := f.dialCaller("secret", "unsafe", length(1000*kib)+"\r\n"+closedByPeer)
	c.send(strings.Repeat("x", 100*kib))
	expectRefusal(t, c.response())
	_, err := io.Copy(io.Discard, c.br)
	assert.NilError(t, err, "the connection was closed, not reset")
}

// endlessHandler answers without end until the connection is closed.
func endlessHandler(part string, ended chan<- struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		defer close(ended)
		w.Header().Set("Signed", "by the target")
		w.WriteHeader(http.StatusOK)
		for {
			if _, err := io.WriteString(w, part); err != nil {
				return
			}
			w.(http.Flusher).Flush()
		}
	}
}

// A caller that does not read its response holds a bounded part of it, and is cut off when it has
// stood still for long and room is short.
func TestReaderThatStandsStill(t *testing.T) {
	for _, c := range []struct {
		route, part string
		most        int64 // held, with what replaced buffers hold
	}{
		{"stream", "data: " + strings.Repeat("x", 32*kib) + "\n\n", requestOverhead + bounded.FirstBuffer(-1) + 128*kib},
		{"unsafe", strings.Repeat("x", 32*kib), requestOverhead + 2*bounded.FirstBuffer(-1) + 2*256*kib},
	} {
		t.Run(c.route, func(t *testing.T) {
			machine := clocktest.New(t)
			ended := make(chan struct{})
			f := newMemoryGateway(t, 2*mib, newTarget(t, endlessHandler(c.part, ended)))
			caller := f.dialCaller("secret", c.route, length(0))
			assert.Equal(t, caller.response().StatusCode, http.StatusOK)
			shortUntil(f, machine, ended, c.most)
			// The error is ignored: the connection may be closed or reset.
			received, _ := io.ReadAll(caller.br)
			assert.Assert(t, !strings.HasSuffix(string(received), "\r\n0\r\n\r\n"), "the response must not look complete")
			f.expectNothingHeld()
			assert.Equal(t, f.gateway.stats.refused[ReasonReaderStalled].Count(), int64(1))
		})
	}
}

// shortUntil refuses reservations and lets time pass until ended is closed.
func shortUntil(f *testGateway, machine *clocktest.Machine, ended <-chan struct{}, most int64) {
	f.t.Helper()
	f.waitFor("the caller is cut off", func() bool {
		u := f.usage()
		assert.Assert(f.t, u.Small+u.Large <= most, "%+v", u)
		_, verdict := f.gateway.cfg.Memory.Reserve(clock.Now(), "green", 3*mib, func() {})
		assert.Equal(f.t, verdict, memory.NoRoom)
		machine.Suspend(2 * time.Second)
		select {
		case <-ended:
			return true
		default:
			return false
		}
	})
}

// A response for which there is no room is relayed as it arrives.
func TestPlainResponseWithoutRoomIsRelayed(t *testing.T) {
	body := strings.Repeat("x", 200*kib)
	f := newMemoryGateway(t, 200*kib, newTarget(t, func(w http.ResponseWriter, _ *http.Request) { writeSigned(w, http.StatusOK, body) }))
	a := f.call(http.MethodPost, "/safe/x", "b")
	assert.NilError(t, a.err)
	assert.Equal(t, a.status, http.StatusOK)
	assert.Equal(t, a.body, body)
	f.expectNothingHeld()
}

// An event for which there is no room ends the request, which has run: it is not sent again.
func TestEventWithoutRoom(t *testing.T) {
	x := newTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		writeSigned(w, http.StatusOK, "data: "+strings.Repeat("x", 200*kib)+"\n\n")
	})
	f := newMemoryGateway(t, 200*kib, x)
	assert.Equal(t, f.call(http.MethodPost, "/stream/x", "b").status, http.StatusBadGateway)
	assert.Equal(t, x.count(), 1)
	f.expectNothingHeld()
}

// Events of all sizes up to the limit pass unchanged through the budget.
func TestEventsOfAllSizes(t *testing.T) {
	var stream strings.Builder
	for _, size := range []int{1, 4000, 4090, 5000, 300 * kib, 10, 900 * kib} {
		stream.WriteString("data: " + strings.Repeat("x", size) + "\n\n")
	}
	f := newMemoryGateway(t, entryBudget, newTarget(t, func(w http.ResponseWriter, _ *http.Request) { writeSigned(w, http.StatusOK, stream.String()) }))
	a := f.call(http.MethodPost, "/stream/x", "b")
	assert.NilError(t, a.err)
	assert.Assert(t, a.body == stream.String(), "%d bytes of %d", len(a.body), stream.Len())
	f.expectNothingHeld()
}

func TestWithoutABudgetNothingIsRefused(t *testing.T) {
	f := newMemoryGateway(t, 1, newTarget(t, okHandler))
	assert.Equal(t, f.call(http.MethodPost, "/unsafe/x", "b").status, http.StatusServiceUnavailable)
	f.gateway.cfg.Memory = nil
	assert.Equal(t, f.call(http.MethodPost, "/unsafe/x", strings.Repeat("x", largeBody)).status, http.StatusOK)
}

func TestByteBudgetCanBeDisabled(t *testing.T) {
	r := metrics.NewRegistry()
	cfg := Config{Memory: memory.New(memory.Config{Bytes: mib})}
	assert.Assert(t, New(cfg, testDialect{}, nil, nil, nil, NewStats(r), nil).cfg.Memory != nil)
	assert.Equal(t, r.Get("gateway.memory.budget_bytes").(metrics.Gauge).Value(), int64(mib))
	cfg.Off = mechanism.Off(0).With(mechanism.ByteBudget)
	assert.Assert(t, New(cfg, testDialect{}, nil, nil, nil, NewStats(metrics.NewRegistry()), nil).cfg.Memory == nil)
}
