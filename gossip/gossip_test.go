package gossip

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/springgate/springgate/peer"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

const round = 100 * time.Millisecond

// network is a fleet whose entries all gossip with each other. Messages arrive in any order.
type network struct {
	t       *rapid.T
	now     time.Time
	rounds  int
	started uint64 // processes
	nodes   []*node
	pending []message
	arrived []arrival
}

// arrival is a message and the table that it was merged into.
type arrival struct {
	message
	table *Table
}

type node struct {
	addr  string
	up    bool
	side  int // entries of different sides do not reach each other
	table *Table
}

type message struct {
	from, to *node
	msg      *peer.Gossip
}

func newNetwork(t *rapid.T, size int) *network {
	n := &network{t: t, now: start}
	for i := range size {
		n.nodes = append(n.nodes, &node{addr: fmt.Sprint("e-", i)})
	}
	for _, x := range n.nodes {
		n.start(x)
	}
	return n
}

// start starts a process of an entry, which meets one that is up.
func (n *network) start(x *node) {
	n.started++
	x.up, x.table = true, NewTable(n.now, peer.Presence{Addr: x.addr, Incarnation: uint64(n.now.UnixNano()) + n.started})
	for _, y := range n.nodes {
		if y != x && n.reaches(x, y) {
			n.exchange(x, y)
			return
		}
	}
}

func (n *network) reaches(x, y *node) bool { return x.up && y.up && x.side == y.side }

// exchange makes two entries meet and compare their records.
func (n *network) exchange(x, y *node) {
	y.table.Introduce(n.now, peer.Presence{Addr: x.addr, Incarnation: x.table.self.Incarnation})
	n.send(y, x, y.table.Answer(x.table.Digest(true)))
	n.send(x, y, x.table.Answer(y.table.Digest(true)))
}

func (n *network) send(x, y *node, msg *peer.Gossip) {
	if len(msg.Members)+len(msg.Engines) > 0 {
		n.pending = append(n.pending, message{x, y, msg})
	}
}

// step lets one round pass: messages arrive, and each entry does what it does in a round.
func (n *network) step(lossless bool) {
	n.now = n.now.Add(round)
	for len(n.pending) > 0 {
		i := rapid.IntRange(0, len(n.pending)-1).Draw(n.t, "next")
		m := n.pending[i]
		n.pending = slices.Delete(n.pending, i, i+1)
		if n.reaches(m.from, m.to) && (lossless || rapid.IntRange(0, 9).Draw(n.t, "lost") > 0) {
			m.to.table.Merge(n.now, m.msg, m.from.addr)
			n.arrived = append(n.arrived, arrival{m, m.to.table})
		}
	}
	n.rounds++
	for i, x := range n.nodes {
		if !x.up {
			continue
		}
		x.table.Expire(n.now)
		for k, y := range n.nodes {
			if x != y && !n.reaches(x, y) && n.monitors(i, k) {
				x.table.Suspect(n.now, y.addr)
			}
		}
		changes := x.table.TakeChanges()
		for _, y := range n.nodes {
			if x != y {
				n.send(x, y, changes.For(y.addr))
			}
		}
		if y := n.nodes[(i+n.rounds)%len(n.nodes)]; y != x && n.reaches(x, y) {
			n.exchange(x, y)
		}
	}
}

// monitors reports whether an entry notices the loss of another: the two next ones that are up on
// each side do.
func (n *network) monitors(entry, other int) bool {
	between := 0
	for k := other + 1; (k-entry)%len(n.nodes) != 0; k++ {
		if y := n.nodes[k%len(n.nodes)]; y.up && y.side == n.nodes[entry].side {
			between++
		}
	}
	return between < 2
}

// fault kills, starts or cuts off an entry, or issues or withdraws a report.
func (n *network) fault() {
	x := n.nodes[rapid.IntRange(0, len(n.nodes)-1).Draw(n.t, "entry")]
	switch rapid.IntRange(0, 4).Draw(n.t, "fault") {
	case 0:
		x.up = false
	case 1:
		n.start(x)
	case 2:
		x.side = 1 - x.side
	case 3:
		if x.up {
			x.table.SetSelf(n.now, false, !x.table.self.StoreFailing)
		}
	default:
		if x.up {
			x.table.Forward(n.now, peer.RelayedState{EngineAddr: "g", Withdrawn: rapid.Bool().Draw(n.t, "withdrawn")})
		}
	}
}

// check fails unless each entry that is up knows who is up, and what they report.
func (n *network) check(when string) {
	for _, x := range n.nodes {
		if !x.up {
			continue
		}
		for _, y := range n.nodes {
			r, live := x.table.Member(y.addr)
			if x == y {
				continue
			}
			if live != y.up {
				n.t.Fatalf("%s: %s counts %s as live: %v, is up: %v", when, x.addr, y.addr, live, y.up)
			}
			if y.up && r != y.table.self {
				n.t.Fatalf("%s: %s has %+v of %s, which is %+v", when, x.addr, r, y.addr, y.table.self)
			}
			if got, want := x.table.ReportsOf(y.addr), y.table.ReportsOf(y.addr); y.up && !slices.Equal(got, want) {
				n.t.Fatalf("%s: %s has reports %+v of %s, which forwards %+v", when, x.addr, got, y.addr, want)
			}
		}
	}
}

// After any sequence of kills, starts, partitions and lost messages, all entries come to know who
// is up, and no old message brings back who is not.
func TestMembershipConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(t, rapid.IntRange(2, 6).Draw(t, "entries"))
		for range rapid.IntRange(0, 40).Draw(t, "rounds") {
			if rapid.IntRange(0, 2).Draw(t, "faulty") == 0 {
				n.fault()
			}
			n.step(false)
		}
		for _, x := range n.nodes {
			x.side = 0
		}
		settle := int(3 * ConfirmAfter / round)
		for range settle {
			n.step(true)
		}
		n.check("after the faults")
		for _, i := range rapid.Permutation(indices(len(n.arrived))).Draw(t, "order") {
			m := n.arrived[i]
			m.table.Merge(n.now, m.msg, m.from.addr)
		}
		n.check("after all messages came once more")
	})
}

func indices(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// An entry that is suspected by mistake refutes that before it counts as lost.
func TestSuspicionIsRefuted(t *testing.T) {
	a := NewTable(start, peer.Presence{Addr: "a", Incarnation: 1})
	b := NewTable(start, peer.Presence{Addr: "b", Incarnation: 1})
	a.Introduce(start, peer.Presence{Addr: "b", Incarnation: 1})
	a.TakeChanges()
	a.Suspect(start, "b")
	b.Merge(start, a.TakeChanges().For("b"), "a")
	at := start.Add(ConfirmAfter - 1)
	assert.Equal(t, len(a.Expire(at)), 0)
	a.Merge(at, b.TakeChanges().For("a"), "b")
	assert.Equal(t, len(a.Expire(at.Add(ConfirmAfter))), 0)
	_, live := a.Member("b")
	assert.Assert(t, live)
}

// The time for which a process did not run does not count for the entries that it suspects.
func TestSuspicionIsPostponed(t *testing.T) {
	a := NewTable(start, peer.Presence{Addr: "a", Incarnation: 1})
	a.Introduce(start, peer.Presence{Addr: "b", Incarnation: 1})
	a.Suspect(start, "b")
	a.Postpone(3 * time.Second)
	assert.Equal(t, len(a.Expire(start.Add(3*time.Second+ConfirmAfter-1))), 0)
	assert.DeepEqual(t, a.Expire(start.Add(3*time.Second+ConfirmAfter)), []string{"b"})
}

// A process that starts after its host's clock was set back issues newer records than the one
// before it all the same.
func TestLowerIncarnationSupersedesAnEarlierProcess(t *testing.T) {
	a := NewTable(start, peer.Presence{Addr: "a", Incarnation: 1})
	a.Introduce(start, peer.Presence{Addr: "b", Incarnation: 50})
	b := NewTable(start, peer.Presence{Addr: "b", Incarnation: 7})
	b.Merge(start, a.Answer(b.Digest(true)), "a")
	a.Merge(start, b.TakeChanges().For("a"), "b")
	r, live := a.Member("b")
	assert.Assert(t, live && r.Incarnation == 7, "%+v", r)
}
