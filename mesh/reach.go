package mesh

import (
	"github.com/springgate/springgate/membership"
	"github.com/springgate/springgate/peer"
)

// Bounds of the links of one agent. Agents linked to every entry cost links that grow with
// the product of both, all opened in the second in which a fleet starts.
const (
	// nearLinks is how many entries of its own failure domain an agent is linked to:
	// they hand out pieces, each the ones that it reads for the domain.
	nearLinks = 8
	// farLinks is how many others it is linked to, for the time when those of its
	// own domain are gone. One may be lost with them, one may be restarting.
	farLinks = 3
)

// candidate is an entry that an agent may link to.
type candidate struct {
	peer.Presence // of a seed that never answered, the address only
	live          bool
}

// chooseLinks returns the addresses of the entries that an agent should be linked to,
// the preferred one first: some of its own failure domain, some others, and seeds of
// which nothing is known while none of its own domain answers. Links that work are
// kept, so that members that come and go move few of them. It is pure.
func chooseLinks(self peer.Presence, known []candidate) []string {
	var near, far, unknown []candidate
	for _, c := range known {
		switch c.Domain {
		case "":
			unknown = append(unknown, c)
		case self.Domain:
			near = append(near, c)
		default:
			far = append(far, c)
		}
	}
	out := preferred(self.Host, near, nearLinks)
	nearLive := anyLive(near)
	out = append(out, preferred(self.Host, far, farLinks)...)
	if !nearLive {
		out = append(out, preferred(self.Host, unknown, len(unknown))...)
	}
	return out
}

// preferred returns up to n addresses: live entries before others, fast links before
// slow ones, then by rendezvous hashing.
func preferred(host string, list []candidate, n int) []string {
	all := make([]peer.Presence, len(list))
	for i, c := range list {
		all[i] = c.Presence
	}
	fast := map[string]bool{}
	for _, p := range peer.FastLinks(all) {
		fast[p.Addr] = true
	}
	var out []string
	for _, want := range []struct{ live, fast bool }{{true, true}, {true, false}, {false, true}, {false, false}} {
		var addrs []string
		for _, c := range list {
			if c.live == want.live && fast[c.Addr] == want.fast {
				addrs = append(addrs, c.Addr)
			}
		}
		out = append(out, membership.Rank(host, addrs, n-len(out))...)
	}
	return out
}

func anyLive(list []candidate) bool {
	for _, c := range list {
		if c.live {
			return true
		}
	}
	return false
}
