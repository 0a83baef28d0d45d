package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
	"time"
)

// pieceBytes is the size of an event's data in the padded streams: the largest piece of the small
// deployment.
const pieceBytes = 390

// padded is the address of a target whose events are as large as those of the small deployments.
// The stand-in behind it writes shorter ones.
type padded struct {
	rec    *record
	ln     net.Listener
	server *http.Server
	mu     sync.Mutex
	to     string

	eventGap time.Duration // between two events

	garbling         bool
	answers, garbled int // since garble was last switched on
}

// garbledPart is of how many answers one is garbled.
const garbledPart = 50

// garbageRate is the most that a garbled answer sends in bytes a second, as much as the link of an
// entry's machine takes (1,000 Mbit/s).
const garbageRate = 119 << 20

func newPadded(rec *record) (*padded, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &padded{rec: rec, ln: ln}
	reverse := &httputil.ReverseProxy{
		FlushInterval: -1, // each event as it arrives
		Rewrite: func(r *httputil.ProxyRequest) {
			p.mu.Lock()
			defer p.mu.Unlock()
			r.SetURL(&url.URL{Scheme: "http", Host: p.to})
			r.Out.Host = r.In.Host
		},
		ModifyResponse: func(r *http.Response) error {
			if strings.HasPrefix(r.Header.Get("Content-Type"), "text/event-stream") {
				r.Body = padEvents(r.Body, p.eventGap)
			}
			return nil
		},
	}
	p.server = &http.Server{Handler: p.handler(reverse)}
	go func() { _ = p.server.Serve(ln) }()
	return p, nil
}

func (p *padded) addr() string { return p.ln.Addr().String() }

func (p *padded) close() { _ = p.server.Close() }

func (p *padded) point(to string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.to = to
}

// garble switches on that some answers are bytes that are not a response.
func (p *padded) garble(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.garbling = on; on {
		p.answers, p.garbled = 0, 0
	}
}

func (p *padded) counts() (answers, garbled int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.answers, p.garbled
}

// instance returns the beginning of the target's IDs.
func (p *padded) instance() string { return "i-" + strings.ReplaceAll(p.addr(), ":", "-") + "-" }

// handler answers a part of the requests with garbage and passes the others on.
func (p *padded) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		p.answers++
		bad := p.garbling && p.answers%garbledPart == 0
		if bad {
			p.garbled++
		}
		p.mu.Unlock()
		if !bad {
			next.ServeHTTP(w, r)
			return
		}
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		p.sendGarbage(c)
	})
}

// sendGarbage writes bytes that are not a response until the connection is closed or the target is
// sound again.
func (p *padded) sendGarbage(w io.Writer) {
	b := bytes.Repeat([]byte{'.'}, 64<<10)
	began, sent := time.Now(), 0
	defer func() {
		p.rec.say("target at %s: a garbled answer had %d MB in %v", p.addr(), sent>>20, time.Since(began).Round(time.Millisecond))
	}()
	for p.isGarbling() {
		if float64(sent) > time.Since(began).Seconds()*garbageRate {
			time.Sleep(time.Millisecond)
			continue
		}
		n, err := w.Write(b)
		sent += n
		if err != nil {
			return
		}
	}
}

func (p *padded) isGarbling() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.garbling
}

// padEvents lengthens the data lines of a stream and delays each by gap.
func padEvents(body io.ReadCloser, gap time.Duration) io.ReadCloser {
	r, w := io.Pipe()
	go func() {
		defer body.Close()
		lines := bufio.NewScanner(body)
		for lines.Scan() {
			line := lines.Text()
			if strings.HasPrefix(line, "data: ") {
				time.Sleep(gap)
				line += " " + strings.Repeat(".", max(pieceBytes-len(line)-1, 0))
			}
			if _, err := fmt.Fprintf(w, "%s\n", line); err != nil {
				return
			}
		}
		_ = w.CloseWithError(lines.Err())
	}()
	return r
}
