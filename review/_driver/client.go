package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/springgate/springgate/platform/fake"
)

// record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

func (r *record) elapsed() time.Duration { return time.Since(r.start) }

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.logf(format, args...)
	fmt.Printf("%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// outcome is how one attempt of a client ended.
type outcome struct {
	id     string
	sent   time.Duration // since the start of the record
	status int           // 0 for none
	events int
	served bool
	kept   bool // sent on a connection that had carried another request
	note   string
}

// clients send requests to the entries and keep the outcomes.
type clients struct {
	f    *fleet
	next atomic.Int64
	mu   sync.Mutex
	all  []outcome
	wg   sync.WaitGroup
}

// run starts n clients for each entry; each sends its next request some time after the answer.
func (c *clients) run(ctx context.Context, n int, pause time.Duration, path string) {
	for _, e := range c.f.entries {
		for range n {
			c.wg.Go(func() {
				h := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}}
				defer h.CloseIdleConnections()
				for ctx.Err() == nil {
					c.call(h, e, path)
					select {
					case <-time.After(pause):
					case <-ctx.Done():
					}
				}
			})
		}
	}
}

// call sends one request and records how it ended.
func (c *clients) call(h *http.Client, e *process, path string) outcome {
	o := outcome{id: fmt.Sprintf("r%06d", c.next.Add(1)), sent: c.f.rec.elapsed()}
	ctx, cancel := context.WithTimeout(context.Background(), routeTimeout)
	defer cancel()
	r, err := fake.NewRequest(e.node.Callers, hostName, path, fake.Call{ID: o.id, Key: apiKey, Timeout: routeTimeout, Prompt: 100, Parts: []string{"a1", fmt.Sprintf("%x", o.id)}})
	if err == nil {
		var resp *http.Response
		traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { o.kept = i.Reused }})
		if resp, err = h.Do(r.WithContext(traced)); err == nil {
			o.status = resp.StatusCode
			if strings.HasPrefix(path, chatPath) && resp.StatusCode == http.StatusOK {
				o.events = readEvents(resp.Body)
				o.served = o.events == fake.StreamEvents && fake.Signed(resp.Header)
			} else {
				b, readErr := io.ReadAll(resp.Body)
				o.served = resp.StatusCode == http.StatusOK && readErr == nil && fake.Signed(resp.Header) && string(b) == fake.ResponseBody(o.id)
				if resp.StatusCode != http.StatusOK {
					o.note = strings.TrimSpace(string(b))
				}
			}
			_ = resp.Body.Close()
		}
	}
	if err != nil {
		o.note = err.Error()
	}
	c.mu.Lock()
	c.all = append(c.all, o)
	c.mu.Unlock()
	c.f.rec.logf("client: %s sent to %s at %.3f s, kept connection %t, status %d, %d events, served %t %s", o.id, e.node.Name, o.sent.Seconds(), o.kept, o.status, o.events, o.served, o.note)
	return o
}

func readEvents(r io.Reader) (n int) {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data: ") {
			n++
		}
	}
	return n
}

// share returns how many requests were sent between two times and the share of them that was served.
func (c *clients) share(from, until time.Duration) (sent int, served float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, o := range c.all {
		if o.sent < from || o.sent >= until {
			continue
		}
		sent++
		if o.served {
			n++
		}
	}
	if sent == 0 {
		return 0, 0
	}
	return sent, float64(n) / float64(sent)
}

// writeRuns adds to the record which engines ran each request.
func (c *clients) writeRuns() {
	for id, runs := range c.f.log.AllExecutions() {
		c.f.rec.logf("engines: %s run by %s", id, strings.Join(runs, ", "))
	}
}
