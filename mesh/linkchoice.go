package mesh

import (
	"github.com/springgate/springgate/membership"
	"github.com/springgate/springgate/peer"
)

// Limits on the links of one agent. If agents linked to all entries, the number of links would
// grow with the product of agents and entries, and all would be opened in the second in which a
// fleet starts.
const (
	// nearLinks is how many entries of its own failure domain an agent links to. They serve
	// pieces (parts of model weights), each entry those that it fetches on behalf of the
	// domain.
	nearLinks = 8
	// farLinks is how many entries of other failure domains an agent links to, as a
	// fallback for those of its own domain. One of these entries may be lost in the same
	// incident as the agent's own domain, and another may be restarting.
	farLinks = 3
)

// candidate is an entry that an agent may link to.
type candidate struct {
	peer.Presence // only the address is set for a seed that never answered
	live          bool
}

// chooseLinks returns the addresses of the entries that an agent should link to, the
// preferred one first: some of its own failure domain, some of others and, while no entry of
// its own domain is live, the seeds of which only the address is known. Working links are
// kept, so that members joining and leaving move few links. It performs no I/O.
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

// preferred returns up to n addresses: live entries before others, fast links before slow
// ones, then by rendezvous hashing.
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
