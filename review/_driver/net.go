package main

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strconv"
	"strings"
	"sync"
)

// gate is a fixed address whose connections go to the current process of a target. While it points
// nowhere, connections to it are closed at once.
type gate struct {
	ln    net.Listener
	mu    sync.Mutex
	to    string
	conns map[net.Conn]bool
}

func newGate() (*gate, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &gate{ln: ln, conns: map[net.Conn]bool{}}
	go g.accept()
	return g, nil
}

func (g *gate) addr() string { return g.ln.Addr().String() }

// point changes the process that the address belongs to, and ends the connections to the one before.
func (g *gate) point(to string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.to = to
	for c := range g.conns {
		_ = c.Close()
	}
	g.conns = map[net.Conn]bool{}
}

func (g *gate) close() {
	_ = g.ln.Close()
	g.point("")
}

func (g *gate) accept() {
	for {
		c, err := g.ln.Accept()
		if err != nil {
			return
		}
		go g.serve(c)
	}
}

func (g *gate) serve(c net.Conn) {
	defer c.Close()
	g.mu.Lock()
	to := g.to
	g.conns[c] = true
	g.mu.Unlock()
	if to == "" {
		return
	}
	t, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer t.Close()
	done := make(chan struct{}, 2)
	go func() { _, _ = io.Copy(t, c); done <- struct{}{} }()
	go func() { _, _ = io.Copy(c, t); done <- struct{}{} }()
	<-done
}

// originProxy stands before the origin of the weights and can spoil answers.
type originProxy struct {
	rec    *record
	ln     net.Listener
	server *http.Server

	mu        sync.Mutex
	spoilNext bool // the next list of digests is spoilt
	answers   int  // since the counter was last reset
	spoilt    int
}

func newOriginProxy(rec *record, to string) (*originProxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &originProxy{rec: rec, ln: ln}
	reverse := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: to})
	reverse.ModifyResponse = p.modify
	p.server = &http.Server{Handler: reverse}
	go func() { _ = p.server.Serve(ln) }()
	return p, nil
}

func (p *originProxy) addr() string { return p.ln.Addr().String() }

func (p *originProxy) close() { _ = p.server.Close() }

// arm makes the next list of digests bad if spoil is set, and starts to count answers.
func (p *originProxy) arm(spoil bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spoilNext, p.answers, p.spoilt = spoil, 0, 0
}

func (p *originProxy) counts() (answers, spoilt int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.answers, p.spoilt
}

// modify changes one bit of one digest of the next list of digests if that is asked for.
func (p *originProxy) modify(r *http.Response) error {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answers++
	isList := strings.HasPrefix(r.Request.URL.Path, "/manifest/")
	if at := digitOfDigest(b); isList && p.spoilNext && at >= 0 {
		b[at] ^= 1 // another decimal digit
		p.spoilNext = false
		p.spoilt++
		p.rec.logf("origin: answer %d (%s) has one wrong bit, at byte %d", p.answers, r.Request.URL.RequestURI(), at)
	} else if isList {
		p.rec.logf("origin: answer %d (%s) is sound", p.answers, r.Request.URL.RequestURI())
	}
	r.Body = io.NopCloser(bytes.NewReader(b))
	r.ContentLength = int64(len(b))
	r.Header.Set("Content-Length", strconv.Itoa(len(b)))
	return nil
}

// digitOfDigest returns where the first decimal digit of the first digest stands, or -1.
func digitOfDigest(b []byte) int {
	from := bytes.Index(b, []byte("[\""))
	if from < 0 {
		return -1
	}
	at := bytes.IndexAny(b[from+2:], "0123456789")
	if at < 0 {
		return -1
	}
	return from + 2 + at
}
