package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/springgate/springgate/overload"
	"gotest.tools/v3/assert"
)

// pair returns the two ends of a connection over an in-memory pipe.
func pair(t *testing.T, h Handler) (client, server *Conn) {
	t.Helper()
	a, b := net.Pipe()
	accepted := make(chan *Conn, 1)
	go func() {
		c, err := NewConn(b, Hello{Host: "server", Incarnation: 7}, false, h, &Meter{})
		if err != nil {
			panic(err)
		}
		accepted <- c
	}()
	client, err := NewConn(a, Hello{Host: "client"}, true, nil, &Meter{})
	assert.NilError(t, err)
	server = <-accepted
	t.Cleanup(func() { client.Close(); server.Close() })
	return client, server
}

func TestCallAndRemote(t *testing.T) {
	c, _ := pair(t, func(ctx context.Context, s *Stream, m Message) {
		_ = s.SendLast(ctx, &Fence{Attempt: m.(*Fence).Attempt, Incarnation: 9})
	})
	assert.Equal(t, c.Remote().Host, "server")
	m, err := c.Call(t.Context(), &Fence{Attempt: Attempt{Try: 3}})
	assert.NilError(t, err)
	assert.Equal(t, m.(*Fence).Attempt.Try, uint16(3))
}

func TestStreamsAreSeparateAndOrdered(t *testing.T) {
	const n = 300 // frames, more than window
	c, _ := pair(t, func(ctx context.Context, s *Stream, m Message) {
		first := m.(*Data).Offset
		for i := range int64(n) {
			if s.Send(ctx, &Data{Offset: first + i}) != nil {
				return
			}
		}
		_ = s.SendLast(ctx, &End{Length: first})
	})
	done := make(chan error, 2)
	for _, first := range []int64{0, 1000000} {
		go func() { done <- readAll(t.Context(), c, first, n) }()
	}
	assert.NilError(t, <-done)
	assert.NilError(t, <-done)
}

func readAll(ctx context.Context, c *Conn, first int64, n int) error {
	s, err := c.Open(ctx, &Data{Offset: first})
	if err != nil {
		return err
	}
	defer s.Close()
	for i := range int64(n) {
		m, err := s.Recv(ctx)
		if err != nil {
			return err
		}
		if d := m.(*Data); d.Offset != first+i {
			return errors.Errorf("offset %d, want %d", d.Offset, first+i)
		}
	}
	if _, err := s.Recv(ctx); err != nil {
		return err
	}
	if _, err := s.Recv(ctx); !errors.Is(err, io.EOF) {
		return errors.Errorf("receive after the last message: %v, want io.EOF", err)
	}
	return nil
}

// A sender must block after it has sent window frames if the receiver does not read.
func TestBackPressure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sent := 0
		stop := make(chan struct{})
		c, server := pair(t, func(ctx context.Context, s *Stream, _ Message) {
			defer close(stop)
			for s.Send(ctx, &Data{}) == nil {
				sent++
			}
		})
		s, err := c.Open(t.Context(), &Watch{})
		assert.NilError(t, err)
		synctest.Wait()
		assert.Equal(t, sent, window)
		s.Close()
		<-stop
		c.Close()
		server.Close()
	})
}

func TestResetAndConnectionLossAreReported(t *testing.T) {
	cause, started := make(chan error, 1), make(chan struct{}, 2)
	c, server := pair(t, func(ctx context.Context, _ *Stream, _ Message) {
		started <- struct{}{}
		<-ctx.Done()
		cause <- context.Cause(ctx)
	})
	s, err := c.Open(t.Context(), &Watch{})
	assert.NilError(t, err)
	<-started
	s.Close()
	assert.ErrorIs(t, <-cause, ErrReset)

	s, err = c.Open(t.Context(), &Watch{})
	assert.NilError(t, err)
	<-started
	server.Close()
	_, err = s.Recv(t.Context())
	assert.ErrorIs(t, err, ErrConnLost)
	assert.ErrorIs(t, <-cause, ErrConnLost)
}

func TestHandshakeRejectsOtherProtocolVersions(t *testing.T) {
	a, b := net.Pipe()
	go func() {
		f, _ := encodeFrame(0, 0, &Hello{Protocol: Protocol + 1})
		go func() { _, _ = io.Copy(io.Discard, b) }()
		_, _ = b.Write(f)
	}()
	_, err := NewConn(a, Hello{}, true, nil, &Meter{})
	assert.ErrorIs(t, err, ErrProtocol)
}

func TestPoolRedials(t *testing.T) {
	h := func(ctx context.Context, s *Stream, m Message) { _ = s.SendLast(ctx, m) }
	srv, err := Listen("127.0.0.1:0", Hello{Host: "s"}, h, &Meter{})
	assert.NilError(t, err)
	defer srv.Close()
	p := NewPool(Hello{Host: "c"}, nil, &Meter{})
	defer p.Close()
	c1, err := p.Get(t.Context(), srv.Addr(), Traffic)
	assert.NilError(t, err)
	c2, err := p.Get(t.Context(), srv.Addr(), Bulk)
	assert.NilError(t, err)
	assert.Assert(t, c1 != c2, "two classes share a connection")
	c1.Close()
	_, err = p.Call(t.Context(), srv.Addr(), Traffic, &Watch{})
	assert.NilError(t, err)
	srv.Close()
	<-c2.Done()
	_, err = p.Get(t.Context(), srv.Addr(), Bulk)
	assert.ErrorIs(t, err, ErrDial)
}

func TestEveryKindHasAMessage(t *testing.T) {
	for k := kindHello; k <= kindPlaceReply; k++ {
		if k == kindCredit || k == kindReset {
			continue
		}
		m := newMessage(k)
		assert.Assert(t, m != nil, "no message type for kind %d", k)
		assert.Equal(t, m.Kind(), k)
	}
	assert.Assert(t, newMessage(kindPlaceReply+1) == nil)
}

func FuzzFrame(f *testing.F) {
	for _, m := range []Message{&Hello{Host: "h"}, &Dispatch{URI: "/x"}, &Have{Bits: []uint64{1}}, &End{Length: 3},
		&Crashes{Crashes: []CrashReport{{Content: []byte("f"), Target: "i-1", AgeMs: 3}}, Added: CrashesAdded{InFlightMs: []int64{40}}},
		&Loads{Added: LoadsAdded{Shortages: map[string]overload.Report{"s": {Placed: 1}}}}} {
		b, err := encodeFrame(5, flagOpen, m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	for _, odd := range []string{"\x96\x00\xdd\xff\xff\xff\xff", "\x96\x00\xc0\x00\x00\x00\x00\x81\xa1x" + strings.Repeat("\x91", 10_000) + "\xc0", "\xdf\xff\xff\xff\xff"} {
		b, err := rawFrame(5, flagOpen, kindMirrorBatch, []byte(odd))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Add([]byte{0, 0, 0, 1, 2})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		fr, err := readFrame(bytes.NewReader(b))
		if err != nil {
			return
		}
		m, err := fr.decode()
		if err != nil {
			return
		}
		again, err := encodeFrame(fr.stream, fr.flags, m)
		assert.NilError(t, err)
		fr2, err := readFrame(bytes.NewReader(again))
		assert.NilError(t, err)
		m2, err := fr2.decode()
		assert.NilError(t, err)
		assert.Equal(t, m2.Kind(), m.Kind())
	})
}

func BenchmarkCall(b *testing.B) {
	h := func(ctx context.Context, s *Stream, m Message) { _ = s.SendLast(ctx, m) }
	srv, err := Listen("127.0.0.1:0", Hello{Host: "s"}, h, &Meter{})
	assert.NilError(b, err)
	defer srv.Close()
	p := NewPool(Hello{Host: "c"}, nil, &Meter{})
	defer p.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := p.Call(ctx, srv.Addr(), Traffic, &Fence{}); err != nil {
			b.Fatal(err)
		}
	}
}
