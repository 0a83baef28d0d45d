package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// LinkMode is how a link treats connections.
type LinkMode int

// Modes of a link.
const (
	LinkHealthy LinkMode = iota // bytes pass without delay
	LinkDelayed                 // bytes arrive late
	LinkRefused                 // new connections are closed at once
	LinkReset                   // all connections are reset
	LinkSilent                  // nothing passes; connections stay open
	LinkOneWay                  // only data sent by callers passes
)

const linkModes = 6

// linkDelay is the delay of bytes on a delayed link.
const linkDelay = 60 * time.Millisecond

// pollInterval is the time between two checks of a link that lets nothing pass, or of the
// entries' reachability.
const pollInterval = 10 * time.Millisecond

// Link is a loopback proxy in front of one address.
type Link struct {
	ln net.Listener
	to string

	breaking sync.Mutex // held during Break

	mu    sync.Mutex
	down  bool // not listening
	mode  LinkMode
	conns map[net.Conn]bool
}

// NewLink starts a proxy that forwards connections to the address to.
func NewLink(to string) (*Link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{ln: ln, to: to, conns: map[net.Conn]bool{}}
	go l.accept(ln)
	return l, nil
}

// SetDown makes the address refuse connections, like that of a host whose process has
// exited, or accept them again.
func (l *Link) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if down == l.down {
		return
	}
	l.down = down
	if down {
		_ = l.ln.Close()
		return
	}
	ln, err := net.Listen("tcp", l.ln.Addr().String())
	if err != nil {
		return // the port was taken meanwhile; awaitService then reports what is not served
	}
	l.ln = ln
	go l.accept(ln)
}

// Addr returns the address of the proxy.
func (l *Link) Addr() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ln.Addr().String()
}

// Close closes the proxy and its connections.
func (l *Link) Close() {
	l.SetDown(true)
	l.SetMode(LinkReset)
}

// SetMode changes the link's mode. LinkReset also resets open connections.
func (l *Link) SetMode(m LinkMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = m
	if m != LinkReset {
		return
	}
	for c := range l.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Break sets the link's mode for d and then restores LinkHealthy. Concurrent calls run one
// after another.
func (l *Link) Break(m LinkMode, d time.Duration) {
	l.breaking.Lock()
	defer l.breaking.Unlock()
	l.SetMode(m)
	time.Sleep(d)
	l.SetMode(LinkHealthy)
}

func (l *Link) currentMode() LinkMode {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode
}

func (l *Link) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		if m := l.currentMode(); m == LinkRefused || m == LinkReset {
			_ = c.Close()
			continue
		}
		go l.serve(c)
	}
}

func (l *Link) serve(c net.Conn) {
	target, err := net.Dial("tcp", l.to)
	if err != nil {
		_ = c.Close()
		return
	}
	l.track(c, target, true)
	done := make(chan struct{}, 2)
	go l.copy(target, c, true, done)
	go l.copy(c, target, false, done)
	<-done
	_ = c.Close()
	_ = target.Close()
	<-done
	l.track(c, target, false)
}

func (l *Link) track(c, target net.Conn, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, x := range []net.Conn{c, target} {
		if open {
			l.conns[x] = true
		} else {
			delete(l.conns, x)
		}
	}
}

// copy forwards bytes as the mode allows. When one direction ends, serve closes both
// connections.
func (l *Link) copy(dst io.Writer, src io.Reader, fromCaller bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			l.delay(fromCaller)
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// delay waits for linkDelay on a delayed link, and while the link lets nothing pass in
// this direction.
func (l *Link) delay(fromCaller bool) {
	if l.currentMode() == LinkDelayed {
		time.Sleep(linkDelay)
	}
	for {
		m := l.currentMode()
		if m != LinkSilent && (m != LinkOneWay || fromCaller) {
			return
		}
		time.Sleep(pollInterval)
	}
}
