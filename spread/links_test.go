package spread

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/springgate/springgate/intent"
)

// links is a fake of the links between hosts and the origin: each link is a
// queue that carries one chunk after the other. Time is virtual.
type links struct {
	chunk  time.Duration // time of one chunk on a host's link
	origin time.Duration // time of one chunk on the origin's link
	now    time.Duration
	queue  events
	seq    int
	hosts  []*linkHost
	free   time.Duration // when the origin's link is free
	rng    *rand.Rand

	originChunks, farChunks int
	controlBytes            int64
	corruptEvery            int
	left                    int // live hosts that are not done
	last                    time.Duration
	relist                  bool // a new host list is on its way

	originDown func() bool               // reads from the origin fail
	cut        func(a, b *linkHost) bool // the two cannot reach each other
}

type linkHost struct {
	index    int
	node     Node
	planner  *Planner
	up, down time.Duration // when the link is free
	dead     bool
	asleep   time.Duration // paused until then
	stalled  bool          // what it sends never arrives, and its connections stay open
	liar     bool          // it says that it holds everything
	done     time.Duration
	gained   []uint32
	flushing bool
	audience []*linkHost
	waiting  []waiter
}

// waiter is a question that is held.
type waiter struct {
	chunk int
	do    func()
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// Constants of the fake links.
const (
	linkLatency  = 3 * time.Millisecond
	haveEvery    = 500 * time.Millisecond
	deadAfter    = 2 * time.Second  // a call to a dead host fails
	listLag      = 10 * time.Second // the host list drops a dead host
	wakeEvery    = 250 * time.Millisecond
	haveHeader   = 60 // bytes of a message with its frame
	requestBytes = 90 // bytes of a request for a chunk and the reply's head
	window       = 5 * time.Minute
)

func (l *links) after(d time.Duration, do func()) {
	l.seq++
	heap.Push(&l.queue, event{l.now + d, l.seq, do})
}

func (l *links) time() time.Time { return time.Unix(0, 0).Add(l.now) }

// newLinks returns links between hosts that all want one version.
func newLinks(hosts, domains, chunks int, goal intent.Spread, seed uint64) *links {
	return newLinksWith(Config{Goal: goal}, hosts, domains, chunks, seed)
}

func newLinksWith(cfg Config, hosts, domains, chunks int, seed uint64) *links {
	l := &links{rng: rand.New(rand.NewPCG(seed, seed))}
	l.chunk = window / 2 / time.Duration(chunks)
	l.origin = window / 4 / time.Duration(chunks)
	var nodes []Node
	for i := range hosts {
		n := Node{fmt.Sprintf("h%03d", i), fmt.Sprintf("d%d", i%domains)}
		nodes = append(nodes, n)
		l.hosts = append(l.hosts, &linkHost{index: i, node: n})
	}
	readers := Assign("v", chunks, nodes)
	byName := map[string]*linkHost{}
	for _, h := range l.hosts {
		byName[h.node.Host] = h
		rng := rand.New(rand.NewPCG(seed, uint64(h.index)))
		h.planner = NewPlanner(cfg, h.node, readers, false, rng)
	}
	l.left = hosts
	for _, h := range l.hosts {
		for _, n := range h.planner.Neighbours() {
			byName[n].audience = append(byName[n].audience, h)
		}
	}
	return l
}

// pump starts the fetches that a host's planner wants.
func (l *links) pump(h *linkHost) {
	for !h.dead && l.now >= h.asleep {
		f, ok := h.planner.Next(l.time())
		if !ok {
			return
		}
		l.controlBytes += requestBytes
		if f.Kind != FromPeer {
			if l.originDown != nil && l.originDown() {
				l.fail(h, f)
				continue
			}
			l.originChunks++
			start := max(l.now+linkLatency, l.free)
			l.free = start + l.origin
			l.arrive(h, f, start+l.origin)
			continue
		}
		var src *linkHost
		var i int
		_, _ = fmt.Sscanf(f.Peer, "h%d", &i)
		src = l.hosts[i]
		if src.dead || l.cut != nil && l.cut(h, src) {
			l.fail(h, f)
			continue
		}
		if src.liar && !f.ToReader && !src.planner.Has(f.Chunk) {
			l.after(2*linkLatency, func() { l.answerMissing(h, src, f) })
			continue
		}
		if f.ToReader && !src.planner.Has(f.Chunk) {
			if f.LongPollTimeout > 0 && src.planner.Pending(l.time(), f.Chunk) {
				l.hold(h, src, f)
				continue
			}
			l.after(2*linkLatency, func() { l.answerMissing(h, src, f) })
			continue
		}
		l.send(h, src, f)
	}
}

// fail ends a fetch whose source cannot be reached.
func (l *links) fail(h *linkHost, f Fetch) {
	l.after(deadAfter, func() {
		h.planner.Failed(l.time(), f, FaultUnreachable, 0)
		l.pump(h)
	})
}

// send carries a chunk from one host to another.
func (l *links) send(h, src *linkHost, f Fetch) {
	if src.stalled {
		return
	}
	if l.now < src.asleep {
		l.after(src.asleep-l.now, func() { l.send(h, src, f) })
		return
	}
	if f.CrossDomain {
		l.farChunks++
	}
	start := max(l.now+linkLatency, src.up)
	src.up = start + l.chunk
	l.arrive(h, f, src.up)
}

// hold keeps a question until the reader has the chunk.
func (l *links) hold(h, src *linkHost, f Fetch) {
	open := true
	src.waiting = append(src.waiting, waiter{f.Chunk, func() {
		if open {
			open = false
			l.send(h, src, f)
		}
	}})
	l.after(f.LongPollTimeout, func() {
		if open {
			open = false
			l.answerMissing(h, src, f)
		}
	})
}

// release answers the questions that were held for a chunk.
func (l *links) release(src *linkHost, chunk int) {
	kept := src.waiting[:0]
	for _, w := range src.waiting {
		if w.chunk == chunk {
			w.do()
		} else {
			kept = append(kept, w)
		}
	}
	src.waiting = kept
}

// answerMissing is the reply of a reader that does not have the chunk.
func (l *links) answerMissing(h, src *linkHost, f Fetch) {
	fault := FaultMissing
	if src.planner.Pending(l.time(), f.Chunk) {
		fault = FaultPending
	}
	if src.dead {
		fault = FaultUnreachable
	}
	h.planner.Failed(l.time(), f, fault, 0)
	l.pump(h)
}

// arrive brings a chunk that has left its source by sent over the host's link.
// Cut-through: the link is taken for the last part only, if it was free.
func (l *links) arrive(h *linkHost, f Fetch, sent time.Duration) {
	l.after(sent-l.now, func() {
		h.down = max(l.now+linkLatency, h.down+l.chunk)
		bad := l.corruptEvery > 0 && l.rng.IntN(l.corruptEvery) == 0
		l.after(h.down-l.now, func() { l.arrived(h, f, bad) })
	})
}

func (l *links) arrived(h *linkHost, f Fetch, bad bool) {
	if l.now < h.asleep {
		l.after(h.asleep-l.now, func() { l.arrived(h, f, bad) })
		return
	}
	if h.dead {
		return
	}
	if bad {
		h.planner.Failed(l.time(), f, FaultCorrupt, 0)
		l.pump(h)
		return
	}
	h.planner.Done(l.time(), f)
	l.release(h, f.Chunk)
	h.gained = append(h.gained, uint32(f.Chunk))
	if !h.flushing {
		h.flushing = true
		l.after(haveEvery, func() { l.flush(h) })
	}
	if h.planner.Complete() && h.done == 0 {
		h.done = l.now
		l.left--
		l.last = l.now
	}
	l.pump(h)
}

// flush tells the audience of a host what it has gained.
func (l *links) flush(h *linkHost) {
	more := h.gained
	h.gained, h.flushing = nil, false
	if h.dead {
		return
	}
	for _, a := range h.audience {
		if l.cut != nil && l.cut(h, a) {
			continue
		}
		l.controlBytes += haveHeader + 3*int64(len(more))
		l.after(linkLatency, func() {
			a.planner.PeerGained(h.node.Host, more)
			l.pump(a)
		})
	}
}

func (l *links) kill(h *linkHost) {
	if h.done == 0 {
		l.left--
	}
	h.dead = true
	if l.relist {
		return
	}
	l.relist = true
	l.after(listLag, l.newList)
}

// newList is the host list without the dead reaching all hosts.
func (l *links) newList() {
	l.relist = false
	var nodes []Node
	for _, x := range l.hosts {
		if !x.dead {
			nodes = append(nodes, x.node)
		}
	}
	readers := Assign("v", l.hosts[0].planner.count, nodes)
	for _, x := range l.hosts {
		if !x.dead {
			x.planner.SetReaders(readers)
			l.resubscribe(x)
		}
	}
}

// resubscribe tells a host what its new neighbours hold.
func (l *links) resubscribe(h *linkHost) {
	for _, n := range h.planner.Neighbours() {
		var i int
		_, _ = fmt.Sscanf(n, "h%d", &i)
		src := l.hosts[i]
		known := false
		for _, a := range src.audience {
			known = known || a == h
		}
		if !known {
			src.audience = append(src.audience, h)
			h.planner.PeerHolds(n, src.planner.Bits())
			l.controlBytes += haveHeader + int64(len(src.planner.Bits())*8)
		}
	}
}

func (l *links) wake(h *linkHost) {
	if h.dead || h.done > 0 {
		return
	}
	if l.now < h.asleep {
		l.after(h.asleep-l.now, func() { l.wake(h) })
		return
	}
	for _, f := range h.planner.Expired(l.time()) {
		h.planner.Failed(l.time(), f, FaultUnreachable, 0)
	}
	l.pump(h)
	l.after(wakeEvery, func() { l.wake(h) })
}

// run lets all hosts fetch until every live one is done, and returns the time
// that took, or false after limit.
func (l *links) run(limit time.Duration) (time.Duration, bool) {
	for _, h := range l.hosts {
		l.after(0, func() { l.wake(h) })
	}
	for len(l.queue) > 0 {
		e := heap.Pop(&l.queue).(event)
		l.now = e.at
		e.do()
		if l.now > limit {
			return l.now, false
		}
		if l.left == 0 {
			return l.last, true
		}
	}
	return l.now, false
}

// bound is the least time in which the links can bring the version to n
// hosts.
func (l *links) bound(n, chunks int) time.Duration {
	perHost := time.Duration(chunks) * l.chunk
	return max(perHost, time.Duration(chunks)*l.origin)
}
