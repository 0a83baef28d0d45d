package httpclient

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

func TestDeliveryOfAConnection(t *testing.T) {
	for name, c := range map[string]struct {
		info unix.TCPInfo
		want delivery
	}{
		"all acknowledged":             {unix.TCPInfo{Bytes_acked: 7}, delivery{acked: 7, answered: true}},
		"in flight":                    {unix.TCPInfo{Unacked: 1, Notsent_bytes: 9}, delivery{answered: true}},
		"probe answered":               {unix.TCPInfo{Notsent_bytes: 9}, delivery{windowClosed: true, answered: true}},
		"probe not answered":           {unix.TCPInfo{Notsent_bytes: 9, Probes: 1}, delivery{windowClosed: true}},
		"window of less than a packet": {unix.TCPInfo{Notsent_bytes: 9, Snd_wnd: 10}, delivery{windowClosed: true, answered: true}},
	} {
		assert.Equal(t, newDelivery(&c.info), c.want, name)
	}
}

// The kernel's time starts when the window closes, which is between two checks.
func TestTimeoutIsExtendedWhileProbesAreAnswered(t *testing.T) {
	start := time.Now()
	slow := delivery{acked: 1, windowClosed: true, answered: true}
	unanswered, open, progress := slow, slow, slow
	unanswered.answered = false
	open.windowClosed = false
	progress.acked = 2
	w := newWindowState(start)
	for _, step := range []struct {
		atMs   int
		d      delivery
		wantMs int
	}{
		{1000, slow, 3000},
		{1250, slow, 3250},
		{4000, slow, 6000},
		{4250, unanswered, 6000},
		{4500, slow, 6500},
		{5000, progress, 3000}, // the window has opened after the last check
		{7000, progress, 4500},
		{7250, open, 3000},
		{9500, open, 3000},
		{9750, slow, 3000},
		{10250, slow, 3000},
	} {
		w.observe(start.Add(time.Duration(step.atMs)*time.Millisecond), step.d)
		assert.Equal(t, w.timeout.Milliseconds(), int64(step.wantMs), "at %d ms", step.atMs)
	}
}

// Guards against allocations for each request: data is asked for after each one that has a large body.
func TestDeliveredDoesNotAllocate(t *testing.T) {
	c := dialTest(t, serveConns(t, func(nc *net.TCPConn) { <-t.Context().Done() }))
	assert.Assert(t, c.Delivered())
	assert.Equal(t, testing.AllocsPerRun(100, func() { c.Delivered() }), 0.0)
}
