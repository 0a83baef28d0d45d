package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/springgate/springgate/platform/fake"
)

const (
	// slowPause is how long a slow reader reads nothing in the middle of a stream. It is within the
	// time that the client allows for the request, which is routeTimeout.
	slowPause = 3600 * time.Millisecond
	// receiveBuffer is the size of the client's receive buffer, which Linux doubles to its least: the
	// client's link has a small window.
	receiveBuffer = 1152
	// lostAllowed is how many requests may be lost at any time; around planned work none may.
	lostAllowed = 3
	// rounds is how often each client connects. Each round follows a SIGHUP of two of the three
	// entries (hup of the site: share 0.673), hupGap apart, by less than ConfigApplyMs.
	rounds   = 3
	hupped   = 2
	hupGap   = 1460 * time.Millisecond
	afterHup = 300 * time.Millisecond
)

// slowReaders sends streaming requests on kept connections. The clients read some of the streams
// slowly. It checks LOST.
func slowReaders(rec *record, bin string, trouble bool) (verdict, error) {
	f, err := newFleet(rec, bin, sizes{entries: 3, plain: 3, pieces: 64})
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return failed, err
	}
	if err := f.startTargets(); err != nil {
		return failed, err
	}
	f.writeConfig()
	if err := f.prepareProcesses(); err != nil {
		return failed, err
	}
	if err := f.startProcesses(true); err != nil {
		return failed, err
	}
	time.Sleep(contact + 2*time.Second)
	pause := slowPause
	if !trouble {
		pause = 0
	}
	answered, lost, planned := 0, 0, 0
	for k := range rounds {
		for i, e := range f.entries[:hupped] {
			if i > 0 {
				time.Sleep(hupGap)
			}
			if err := e.reload(); err != nil {
				return failed, err
			}
			rec.logf("platform: the settings file of %s has changed, SIGHUP", e.node.Name)
		}
		time.Sleep(afterHup)
		a, l, p := round(rec, f, k, pause)
		answered, lost, planned = answered+a, lost+l, planned+p
	}
	rec.say("%d requests answered; %d run by a sound engine, and their connections closed without the whole answer, %d of these after a SIGHUP of their entry", answered, lost, planned)
	if answered+lost == 0 {
		return failed, fmt.Errorf("no basis for a verdict")
	}
	if lost > lostAllowed || planned > 0 {
		rec.say("LOST is broken")
		return broken, nil
	}
	rec.say("LOST holds")
	return held, nil
}

// round sends requests by several clients for each entry, and returns how many were answered and how
// many ran at an engine and were not answered whole; planned counts those at entries that had a SIGHUP.
func round(rec *record, f *fleet, k int, pause time.Duration) (answered, lost, planned int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i := range 4 * len(f.entries) {
		e := f.entries[i%len(f.entries)]
		wg.Go(func() {
			id := fmt.Sprintf("s%02d-%d", i, k)
			complete, note := readSlowly(rec, e, id, pause)
			runs := f.log.Executions(id)
			rec.logf("client: %s to %s, complete %t: %s; engines: run by %s", id, e.node.Name, complete, note, strings.Join(runs, ", "))
			mu.Lock()
			defer mu.Unlock()
			switch {
			case complete:
				answered++
			case len(runs) > 0:
				lost++
				if i%len(f.entries) < hupped {
					planned++
				}
			}
		})
	}
	wg.Wait()
	return answered, lost, planned
}

// readSlowly sends two requests on one connection. It reads the first stream at once. Of the second
// it reads the first event, reads nothing for some time, and then the rest.
func readSlowly(rec *record, e *process, id string, pause time.Duration) (complete bool, note string) {
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		var sockErr error
		err := c.Control(func(fd uintptr) {
			sockErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		if err != nil {
			return err
		}
		return sockErr
	}}
	c, err := d.DialContext(context.Background(), "tcp", e.node.Callers)
	if err != nil {
		return false, err.Error()
	}
	defer c.Close()
	br := bufio.NewReaderSize(c, 512)
	if complete, note = exchange(c, br, e, id+"-first", 0); !complete {
		return false, "first request on the connection: " + note
	}
	rec.logf("client: %s sent on the same connection", id)
	return exchange(c, br, e, id, pause)
}

// exchange sends a request and reads the stream that answers it.
func exchange(c net.Conn, br *bufio.Reader, e *process, id string, pause time.Duration) (complete bool, note string) {
	r, err := fake.NewRequest(e.node.Callers, hostName, plainStreamPath, fake.Call{ID: id, Key: apiKey, Timeout: routeTimeout, Prompt: 100})
	if err != nil {
		return false, err.Error()
	}
	began := time.Now()
	if err := r.Write(c); err != nil {
		return false, err.Error()
	}
	resp, err := http.ReadResponse(br, r)
	if err != nil {
		return false, err.Error()
	}
	defer resp.Body.Close()
	events := 0
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if !strings.HasPrefix(lines.Text(), "data: ") {
			continue
		}
		events++
		if events == 1 {
			time.Sleep(pause)
		}
	}
	took := time.Since(began).Round(time.Millisecond)
	if err := lines.Err(); err != nil {
		return false, fmt.Sprintf("status %d, %d of %d events, after %v: %v", resp.StatusCode, events, fake.StreamEvents, took, err)
	}
	return resp.StatusCode == http.StatusOK && events == fake.StreamEvents && fake.Signed(resp.Header), fmt.Sprintf("status %d, %d of %d events, after %v", resp.StatusCode, events, fake.StreamEvents, took)
}
