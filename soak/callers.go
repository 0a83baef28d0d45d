package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/springgate/springgate/platform/fake"
)

// Shape of the load.
const (
	callersPerEntry = 4
	callWithin      = 3 * time.Second
	callTimeout     = 10 * time.Second // of a caller that hears nothing
	thinkTime       = 25 * time.Millisecond
	lastingKey      = "key-lasting"
	keysTried       = 4 // newest rotating keys that callers use
)

// kind is one kind of request.
type kind struct {
	name, path string
	repeatable bool
}

var kinds = []kind{{fake.KindSafe, "/safe/", true}, {fake.KindUnsafe, "/unsafe/", false}, {fake.KindStreaming, "/stream/", true}}

// record gathers what callers saw.
type record struct {
	order atomic.Int64
	mu    sync.Mutex
	all   []Attempt
}

func (r *record) add(a Attempt) {
	a.End = r.order.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, a)
}

func (r *record) attempts() []Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Attempt(nil), r.all...)
}

// caller sends requests to one entry over connections that it keeps until the
// process is gone.
type caller struct {
	fleet  *Fleet
	entry  *Process
	name   string
	client *http.Client
	rng    *rand.Rand
	sent   int
}

func newCaller(f *Fleet, entry *Process, name string, rng *rand.Rand) *caller {
	t := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}
	return &caller{fleet: f, entry: entry, name: name, rng: rng, client: &http.Client{Transport: t}}
}

func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		k, key := kinds[c.rng.IntN(len(kinds))], 0
		if c.rng.IntN(2) == 0 { // with a key that only one configuration allows
			k, key = kinds[0], max(int(c.fleet.config.Load())-c.rng.IntN(keysTried), 1)
		}
		c.call(ctx, k, key)
		select {
		case <-time.After(time.Duration(c.rng.Int64N(int64(2 * thinkTime)))):
		case <-ctx.Done():
		}
	}
}

// call sends one request and records what became of it.
func (c *caller) call(ctx context.Context, k kind, key int) Attempt {
	return c.callBody(ctx, k, key, "")
}

// callBody is call with a body; empty for one that no other request has.
func (c *caller) callBody(ctx context.Context, k kind, key int, body string) Attempt {
	c.sent++
	began := time.Now()
	a := Attempt{ID: fmt.Sprintf("%s-%d", c.name, c.sent), Kind: k.name, Repeatable: k.repeatable, Key: key, Body: body,
		Incarnation: c.entry.Incarnation(), Began: c.fleet.record.order.Add(1), StoreReachable: c.fleet.inTouch(c.entry)}
	secret := lastingKey
	if key > 0 {
		secret = rotatingKey(key)
	}
	// The call goes on when the load ends: each must come to its end.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	r, err := fake.NewRequest(c.entry.node.Callers, hostName, k.path, fake.Call{ID: a.ID, Key: secret, Within: callWithin, Prompt: 100, Body: body})
	a.Sent = c.fleet.notes.now()
	if err == nil {
		var resp *http.Response
		if resp, err = c.client.Do(r.WithContext(ctx)); err == nil {
			c.read(resp, k, &a)
		}
	}
	a.Answered = c.fleet.notes.now()
	// The incarnation may have changed between the look and the connection.
	same := a.Incarnation == c.entry.Incarnation()
	a.FaultFree = same && !c.entry.FaultySince(began) && !c.fleet.troubledSince(a.ID, began)
	a.EntryFaultFree = same && !c.entry.FaultySince(began)
	if !same {
		a.Key, a.StoreReachable = -1, false
	}
	c.fleet.record.add(a)
	return a
}

// read checks an answer.
func (c *caller) read(resp *http.Response, k kind, a *Attempt) {
	defer resp.Body.Close()
	a.Status = resp.StatusCode
	a.AnnouncedLeaving = fake.SaidLeaving(resp.Header)
	signed := fake.Signed(resp.Header)
	switch {
	case resp.StatusCode/100 == 2 && !signed:
		a.Fault = "success without a target's signature"
	case resp.StatusCode/100 != 2:
		_, err := io.Copy(io.Discard, resp.Body)
		a.Truncated = err != nil
	case k.name == fake.KindStreaming:
		c.readStream(resp.Body, a)
	default:
		b, err := io.ReadAll(resp.Body)
		a.Truncated = err != nil
		if err == nil && string(b) != fake.Body(a.ID) {
			a.Fault = fmt.Sprintf("body %.40q", b)
		}
	}
}

// readStream checks that events come once, in order and all, if the stream looks
// complete.
func (c *caller) readStream(body io.Reader, a *Attempt) {
	lines := bufio.NewScanner(body)
	next := 1
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if want := fmt.Sprintf("%s %d", a.ID, next); data != want {
			a.Fault = fmt.Sprintf("event %q, want %q", data, want)
			return
		}
		next++
	}
	if err := lines.Err(); err != nil {
		a.Truncated = true
		if !errors.Is(err, io.ErrUnexpectedEOF) && next > fake.Events {
			a.Truncated = false // all events came; only the end of the connection was rough
		}
		return
	}
	if next <= fake.Events {
		a.Fault = fmt.Sprintf("stream looks complete after %d events", next-1)
	}
}
