package spread

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/springgate/springgate/intent"
)

// links simulates the network links of hosts and the origin: each link is a queue that
// transfers one chunk after the other. Time is virtual.
type links struct {
	chunkTime    time.Duration // transfer time of one chunk on a host's link
	originTime   time.Duration // transfer time of one chunk on the origin's link
	now          time.Duration
	queue        events
	seq          int
	hosts        []*linkHost
	originFreeAt time.Duration // when the origin's link is free
	rng          *rand.Rand

	originChunks, crossDomainChunks int
	controlBytes                    int64
	corruptEvery                    int
	remaining                       int // live hosts that are not complete
	lastDone                        time.Duration
	listPending                     bool // a new host list is scheduled

	originDown  func() bool               // whether reads from the origin fail
	partitioned func(a, b *linkHost) bool // whether the two hosts cannot reach each other
}

type linkHost struct {
	index                int
	node                 Node
	planner              *Planner
	upFreeAt, downFreeAt time.Duration // when each direction of the link is free
	dead                 bool
	pausedUntil          time.Duration
	stalled              bool // the host's data never arrives, but its connections stay open
	misreports           bool // reports that it holds all chunks
	done                 time.Duration
	unreported           []uint32 // fetched chunks that were not reported yet
	flushing             bool
	subscribers          []*linkHost // hosts that have this host as a neighbour
	longPolls            []longPoll
}

// longPoll is a request whose reply is delayed.
type longPoll struct {
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

// Constants of the simulated links.
const (
	linkLatency    = 3 * time.Millisecond
	haveInterval   = 500 * time.Millisecond
	connectTimeout = 2 * time.Second  // of a call to a dead host
	hostListDelay  = 10 * time.Second // until the host list drops a dead host
	tickInterval   = 250 * time.Millisecond
	haveHeader     = 60              // bytes of a report of held chunks and its frame, without the list of chunks
	requestBytes   = 90              // bytes of a request for a chunk and the header of its reply
	window         = 5 * time.Minute // time in which a host's link transfers two copies of the version and the origin's link four
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
	l.chunkTime = window / 2 / time.Duration(chunks)
	l.originTime = window / 4 / time.Duration(chunks)
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
	l.remaining = hosts
	for _, h := range l.hosts {
		for _, n := range h.planner.Neighbours() {
			byName[n].subscribers = append(byName[n].subscribers, h)
		}
	}
	return l
}

// startFetches starts the fetches that a host's planner returns.
func (l *links) startFetches(h *linkHost) {
	for !h.dead && l.now >= h.pausedUntil {
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
			start := max(l.now+linkLatency, l.originFreeAt)
			l.originFreeAt = start + l.originTime
			l.arrive(h, f, start+l.originTime)
			continue
		}
		var src *linkHost
		var i int
		_, _ = fmt.Sscanf(f.Peer, "h%d", &i)
		src = l.hosts[i]
		if src.dead || l.partitioned != nil && l.partitioned(h, src) {
			l.fail(h, f)
			continue
		}
		if src.misreports && !f.ToReader && !src.planner.Has(f.Chunk) {
			l.after(2*linkLatency, func() { l.answerMissing(h, src, f) })
			continue
		}
		if f.ToReader && !src.planner.Has(f.Chunk) {
			if f.LongPollTimeout > 0 && src.planner.Pending(l.time(), f.Chunk) {
				l.delayReply(h, src, f)
				continue
			}
			l.after(2*linkLatency, func() { l.answerMissing(h, src, f) })
			continue
		}
		l.send(h, src, f)
	}
}

// fail ends a fetch whose source is unreachable.
func (l *links) fail(h *linkHost, f Fetch) {
	l.after(connectTimeout, func() {
		h.planner.Failed(l.time(), f, FaultUnreachable, 0)
		l.startFetches(h)
	})
}

// send transfers a chunk from one host to another.
func (l *links) send(h, src *linkHost, f Fetch) {
	if src.stalled {
		return
	}
	if l.now < src.pausedUntil {
		l.after(src.pausedUntil-l.now, func() { l.send(h, src, f) })
		return
	}
	if f.CrossDomain {
		l.crossDomainChunks++
	}
	start := max(l.now+linkLatency, src.upFreeAt)
	src.upFreeAt = start + l.chunkTime
	l.arrive(h, f, src.upFreeAt)
}

// delayReply delays the reply of src, the chunk's reader, to a request of h until src has the
// chunk.
func (l *links) delayReply(h, src *linkHost, f Fetch) {
	open := true
	src.longPolls = append(src.longPolls, longPoll{f.Chunk, func() {
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

// release answers the long polls at src for a chunk.
func (l *links) release(src *linkHost, chunk int) {
	kept := src.longPolls[:0]
	for _, w := range src.longPolls {
		if w.chunk == chunk {
			w.do()
		} else {
			kept = append(kept, w)
		}
	}
	src.longPolls = kept
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
	l.startFetches(h)
}

// arrive transfers a chunk over the link of the receiving host h; by the time sent, the chunk has
// left its source completely. Transfer is cut-through: a free link adds only the latency.
func (l *links) arrive(h *linkHost, f Fetch, sent time.Duration) {
	l.after(sent-l.now, func() {
		h.downFreeAt = max(l.now+linkLatency, h.downFreeAt+l.chunkTime)
		bad := l.corruptEvery > 0 && l.rng.IntN(l.corruptEvery) == 0
		l.after(h.downFreeAt-l.now, func() { l.arrived(h, f, bad) })
	})
}

func (l *links) arrived(h *linkHost, f Fetch, bad bool) {
	if l.now < h.pausedUntil {
		l.after(h.pausedUntil-l.now, func() { l.arrived(h, f, bad) })
		return
	}
	if h.dead {
		return
	}
	if bad {
		h.planner.Failed(l.time(), f, FaultCorrupt, 0)
		l.startFetches(h)
		return
	}
	h.planner.Done(l.time(), f)
	l.release(h, f.Chunk)
	h.unreported = append(h.unreported, uint32(f.Chunk))
	if !h.flushing {
		h.flushing = true
		l.after(haveInterval, func() { l.flush(h) })
	}
	if h.planner.Complete() && h.done == 0 {
		h.done = l.now
		l.remaining--
		l.lastDone = l.now
	}
	l.startFetches(h)
}

// flush reports the chunks that a host has fetched to its subscribers.
func (l *links) flush(h *linkHost) {
	chunks := h.unreported
	h.unreported, h.flushing = nil, false
	if h.dead {
		return
	}
	for _, a := range h.subscribers {
		if l.partitioned != nil && l.partitioned(h, a) {
			continue
		}
		l.controlBytes += haveHeader + 3*int64(len(chunks))
		l.after(linkLatency, func() {
			a.planner.PeerGained(h.node.Host, chunks)
			l.startFetches(a)
		})
	}
}

func (l *links) kill(h *linkHost) {
	if h.done == 0 {
		l.remaining--
	}
	h.dead = true
	if l.listPending {
		return
	}
	l.listPending = true
	l.after(hostListDelay, l.updateHostList)
}

// updateHostList delivers a host list without the dead hosts to all hosts.
func (l *links) updateHostList() {
	l.listPending = false
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

// resubscribe reports to a host which chunks its new neighbours hold.
func (l *links) resubscribe(h *linkHost) {
	for _, n := range h.planner.Neighbours() {
		var i int
		_, _ = fmt.Sscanf(n, "h%d", &i)
		src := l.hosts[i]
		known := false
		for _, a := range src.subscribers {
			known = known || a == h
		}
		if !known {
			src.subscribers = append(src.subscribers, h)
			h.planner.PeerHolds(n, src.planner.Bits())
			l.controlBytes += haveHeader + int64(len(src.planner.Bits())*8)
		}
	}
}

func (l *links) tick(h *linkHost) {
	if h.dead || h.done > 0 {
		return
	}
	if l.now < h.pausedUntil {
		l.after(h.pausedUntil-l.now, func() { l.tick(h) })
		return
	}
	for _, f := range h.planner.Expired(l.time()) {
		h.planner.Failed(l.time(), f, FaultUnreachable, 0)
	}
	l.startFetches(h)
	l.after(tickInterval, func() { l.tick(h) })
}

// run lets all hosts fetch until every live one is complete, and returns the time when the
// last host was complete, or false if that takes longer than limit.
func (l *links) run(limit time.Duration) (time.Duration, bool) {
	for _, h := range l.hosts {
		l.after(0, func() { l.tick(h) })
	}
	for len(l.queue) > 0 {
		e := heap.Pop(&l.queue).(event)
		l.now = e.at
		e.do()
		if l.now > limit {
			return l.now, false
		}
		if l.remaining == 0 {
			return l.lastDone, true
		}
	}
	return l.now, false
}

// lowerBound returns the lower bound of the time in which the links can transfer the version to
// n hosts.
func (l *links) lowerBound(n, chunks int) time.Duration {
	perHost := time.Duration(chunks) * l.chunkTime
	return max(perHost, time.Duration(chunks)*l.originTime)
}
