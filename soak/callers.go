package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/springgate/springgate/platform/fake"
)

// Parameters of the load.
const (
	callersPerEntry = 4
	callDeadline    = 3 * time.Second
	clientTimeout   = 10 * time.Second      // after which a caller without a response gives up
	thinkTime       = 25 * time.Millisecond // mean pause of a caller between two requests
	permanentKey    = "key-lasting"
	lastingTeam     = "lasting"  // team of permanentKey
	rotatingTeam    = "rotating" // team of the rotating keys
	recentKeys      = 4          // callers use the rotating keys of this many latest configurations
)

// kind is one kind of request.
type kind struct {
	name, path string
	repeatable bool
}

var kinds = []kind{{fake.KindSafe, "/safe/", true}, {fake.KindUnsafe, "/unsafe/", false}, {fake.KindStreaming, "/stream/", true}}

// attemptLog collects the attempts of all callers.
type attemptLog struct {
	sequence atomic.Int64
	mu       sync.Mutex
	all      []Attempt
}

func (l *attemptLog) add(a Attempt) {
	a.End = l.sequence.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, a)
}

func (l *attemptLog) attempts() []Attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Attempt(nil), l.all...)
}

// caller sends requests to one entry over connections that it keeps open until the entry
// exits.
type caller struct {
	fleet  *Fleet
	entry  *Process
	name   string
	client *http.Client
	rng    *rand.Rand
	sent   int
	team   string   // of the permanent key that it sends
	secret string   // that key
	shared []string // IDs of the parts that begin its prompts
}

func newCaller(f *Fleet, entry *Process, name string, rng *rand.Rand) *caller {
	t := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}
	return &caller{fleet: f, entry: entry, name: name, rng: rng, team: lastingTeam, secret: permanentKey, shared: commonParts, client: &http.Client{Transport: t}}
}

func (c *caller) sendRequests(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		k, key := kinds[c.rng.IntN(len(kinds))], 0
		if c.rng.IntN(2) == 0 { // with a key that only one configuration accepts
			k, key = kinds[0], max(int(c.fleet.latestConfig.Load())-c.rng.IntN(recentKeys), 1)
		}
		c.call(ctx, k, key)
		select {
		case <-time.After(time.Duration(c.rng.Int64N(int64(2 * thinkTime)))):
		case <-ctx.Done():
		}
	}
}

// call sends one request with the rotating key of the given number, or with the permanent
// key if the number is 0, and records the outcome.
func (c *caller) call(ctx context.Context, k kind, key int) Attempt {
	return c.callBody(ctx, k, key, "")
}

// callBody is like call, with a given body. An empty body is replaced by the request's ID,
// which no other request has.
func (c *caller) callBody(ctx context.Context, k kind, key int, body string) Attempt {
	return c.callPrompt(ctx, k, key, body, "")
}

// commonParts are the parts that begin the prompts of most callers.
var commonParts = []string{"a0", "a1", "a2"}

// callPrompt is like callBody, with a part in the prompt that crashes targets, or "".
func (c *caller) callPrompt(ctx context.Context, k kind, key int, body, crashingPart string) Attempt {
	c.sent++
	began := time.Now()
	a := Attempt{ID: fmt.Sprintf("%s-%d", c.name, c.sent), Kind: k.name, Repeatable: k.repeatable, Key: key, Body: body, CrashingPart: crashingPart, Team: c.team,
		Incarnation: c.entry.Incarnation(), Began: c.fleet.attemptLog.sequence.Add(1), StoreReachable: c.fleet.storeReachable(c.entry)}
	secret := c.secret
	if key > 0 {
		secret, a.Team = rotatingKey(key), rotatingTeam
	}
	// The call continues when the load ends, so that each request has an outcome.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), clientTimeout)
	defer cancel()
	parts := []string{c.shared[c.sent%len(c.shared)], fmt.Sprintf("%x", a.ID)}
	if crashingPart != "" {
		parts = slices.Insert(parts, c.sent%2, crashingPart)
	}
	r, err := fake.NewRequest(c.entry.node.Callers, hostName, k.path, fake.Call{ID: a.ID, Key: secret, Timeout: callDeadline, Prompt: 100, Body: body, Parts: parts})
	a.Sent = c.fleet.recorder.elapsed()
	if err == nil {
		var resp *http.Response
		if resp, err = c.client.Do(r.WithContext(ctx)); err == nil {
			c.read(resp, k, &a)
		}
	}
	a.Answered = c.fleet.recorder.elapsed()
	// The entry may have restarted after its incarnation was read.
	same := a.Incarnation == c.entry.Incarnation()
	a.FaultFree = same && !c.entry.FaultySince(began) && !c.fleet.anyFaulty(c.fleet.requestLog.Executions(a.ID), began, time.Now())
	a.EntryFaultFree = same && !c.entry.FaultySince(began)
	a.Undisturbed = a.EntryFaultFree && !c.entry.Stopping()
	if !same {
		a.Key, a.StoreReachable = -1, false
	}
	c.fleet.attemptLog.add(a)
	return a
}

// read checks a response.
func (c *caller) read(resp *http.Response, k kind, a *Attempt) {
	defer resp.Body.Close()
	a.Status = resp.StatusCode
	a.AnnouncedLeaving = fake.LeavingIncarnation(resp.Header)
	signed := fake.Signed(resp.Header)
	a.Signed = signed
	switch {
	case resp.StatusCode/100 == 2 && !signed:
		a.Fault = "success response without a target's signature"
	case resp.StatusCode/100 != 2:
		_, err := io.Copy(io.Discard, resp.Body)
		a.Truncated = err != nil
	case k.name == fake.KindStreaming:
		c.readStream(resp.Body, a)
	default:
		b, err := io.ReadAll(resp.Body)
		a.Truncated = err != nil
		if err == nil && string(b) != fake.ResponseBody(a.ID) {
			a.Fault = fmt.Sprintf("unexpected body %.40q", b)
		}
	}
}

// readStream checks that events arrive once and in order, and that none is missing if the
// stream looks complete.
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
		if !errors.Is(err, io.ErrUnexpectedEOF) && next > fake.StreamEvents {
			a.Truncated = false // all events arrived; only the connection did not close cleanly
		}
		return
	}
	if next <= fake.StreamEvents {
		a.Fault = fmt.Sprintf("stream looks complete after %d events", next-1)
	}
}
