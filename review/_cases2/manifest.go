package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/springgate/springgate/platform/fake"
)

// Times and shares of the case "manifest".
const (
	versionAt   = 5 * time.Second // from the start of traffic
	trafficFor  = 85 * time.Second
	callGap     = 100 * time.Millisecond
	deadline    = 3 * time.Second
	safeEvery   = 10  // one request in so many is for the plain service
	maxUnserved = 0.6 // share of refused and failed requests that the gate allows
)

// corruptingOrigin passes reads on to the origin. It changes one hexadecimal digit of one answer, the
// first manifest of version 2, if trouble is set.
type corruptingOrigin struct {
	origin  string
	record  *record
	trouble bool
	changed atomic.Bool
	answers atomic.Int64
}

func (c *corruptingOrigin) start(origin string) (addr string, err error) {
	c.origin = origin
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(ln, c) }() // until the process ends
	return ln.Addr().String(), nil
}

func (c *corruptingOrigin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	resp, err := http.Get("http://" + c.origin + r.RequestURI)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	c.answers.Add(1)
	isManifest := strings.HasPrefix(r.URL.Path, "/manifest/")
	if isManifest && c.trouble && strings.HasSuffix(r.URL.RawQuery, "=2") && c.changed.CompareAndSwap(false, true) {
		at := bytes.LastIndexByte(b, ']') - 2 // the last digit of the last digest
		old := b[at]
		b[at] = otherDigit(old)
		c.record.logf("origin: %s answered with its last digit %q instead of %q", r.RequestURI, b[at], old)
	} else if isManifest {
		c.record.logf("origin: %s answered as it is", r.RequestURI)
	}
	w.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(b)
}

func otherDigit(d byte) byte {
	if d == '0' {
		return '1'
	}
	return '0'
}

// tally counts the requests of clients by how they ended.
type tally struct{ owed, served, refused, failed int }

func (t tally) unserved() float64 { return float64(t.refused+t.failed) / float64(max(t.owed, 1)) }

// playManifest names a version whose manifest the origin sends with one wrong digit, once. It checks
// the gate's limit for refused and failed requests.
func playManifest(rec *record, trouble bool) (int, error) {
	origin := &corruptingOrigin{record: rec, trouble: trouble}
	f, err := startPlatform(rec, origin.start)
	if err != nil {
		return failed, err
	}
	defer f.close()
	f.store.Put(fake.KeyConfig, f.config(1, 0))
	if err := f.startTargets(); err != nil {
		return failed, err
	}
	if err := f.startProcesses(); err != nil {
		return failed, err
	}
	if err := f.awaitService(); err != nil {
		return failed, err
	}
	rec.logf("all entries serve")
	time.AfterFunc(versionAt, func() {
		f.store.Put(fake.KeyVersion(model), fake.Version{Model: model, Version: 2})
		rec.logf("version 2 of the model named and acknowledged")
	})
	all := f.sendTraffic(origin)
	rec.logf("all requests: %+v, refused or failed %.3f, allowed %.2f; answers of the origin: %d", all, all.unserved(), maxUnserved, origin.answers.Load())
	for i, e := range f.engines {
		rec.logf("engine %d serves version %d at the end", i, e.Version())
	}
	if trouble && !origin.changed.Load() {
		return failed, fmt.Errorf("no manifest of version 2 was read")
	}
	if all.unserved() > maxUnserved {
		return broken, nil
	}
	return held, nil
}

// sendTraffic sends requests to each entry at a fixed rate and returns how they ended.
func (f *fleet) sendTraffic(origin *corruptingOrigin) tally {
	var mu sync.Mutex
	var all, recent tally
	var sending sync.WaitGroup
	for began, n := time.Now(), 0; time.Since(began) < trafficFor; n++ {
		time.Sleep(time.Until(began.Add(time.Duration(n) * callGap)))
		for _, e := range f.entries {
			sending.Go(func() {
				path := "/stream/"
				if n%safeEvery == 0 {
					path = "/safe/"
				}
				a := callTwice(e, path, fmt.Sprintf("%s-%d", e.name, n))
				mu.Lock()
				defer mu.Unlock()
				all.add(a.status)
				recent.add(a.status)
			})
		}
		if n%50 == 49 {
			mu.Lock()
			f.record.logf("last 5 s: %+v; engines serve %v; answers of the origin so far: %d", recent, f.versions(), origin.answers.Load())
			recent = tally{}
			mu.Unlock()
		}
	}
	sending.Wait()
	return all
}

// callTwice sends a request, and once more if it was refused, after the time that the answer names.
func callTwice(e *entry, path, id string) answer {
	until := time.Now().Add(deadline)
	a := call(e, path, id, lastingKey, deadline)
	if a.status != http.StatusServiceUnavailable {
		return a
	}
	time.Sleep(a.retryAfter)
	left := time.Until(until)
	if left < 100*time.Millisecond {
		return a
	}
	return call(e, path, id+"-again", lastingKey, left)
}

func (t *tally) add(status int) {
	t.owed++
	switch status {
	case http.StatusOK:
		t.served++
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		t.refused++
	default:
		t.failed++
	}
}

// versions returns the versions that the engines serve.
func (f *fleet) versions() (out []int) {
	for _, e := range f.engines {
		out = append(out, e.Version())
	}
	return out
}
