package mesh

import (
	"context"
	"time"

	"github.com/springgate/springgate/peer"
)

// accountIdle is how long an account is kept without loads.
const accountIdle = 10 * time.Second

// sendAccounts sends each home the loads of this entry at its targets, in a large fleet: there, the
// home of a target alone keeps account of it. Homes that are no neighbours get a link for it, the
// account. Neighbours get the state of this entry with the full reports. msg are the loads to
// report, current all loads. The lock must be held.
func (m *Mesh) sendAccounts(ctx context.Context, now time.Time, msg *peer.Loads, current []peer.TargetLoad, urgent bool) {
	reported, all := m.byHome(msg.Targets), m.byHome(current)
	part := func(addr string) *peer.Loads {
		return &peer.Loads{Full: msg.Full, Leaving: msg.Leaving, Targets: reported[addr]}
	}
	for addr, l := range m.links {
		if msg.Full || urgent || len(reported[addr]) > 0 {
			l.queueLoads(part(addr))
		}
	}
	for addr, l := range m.accounts {
		if len(all[addr]) > 0 {
			l.loadedAt = now
		}
		if msg.Full || len(reported[addr]) > 0 {
			l.queueLoads(part(addr))
		}
	}
	for home, loads := range all {
		if home == m.self.Addr || m.links[home] != nil || m.accounts[home] != nil {
			continue
		}
		l := m.openLink(ctx, &link{addr: home, class: peer.Traffic, account: true, loadedAt: now})
		l.queueLoads(&peer.Loads{Full: true, Leaving: msg.Leaving, Targets: loads})
		m.accounts[home] = l
	}
}

// byHome divides loads by the homes of their targets.
func (m *Mesh) byHome(loads []peer.TargetLoad) map[string][]peer.TargetLoad {
	out := map[string][]peer.TargetLoad{}
	for _, l := range loads {
		home := m.homeIn(l.Instance, m.targetDomain(l.Instance))
		out[home] = append(out[home], l)
	}
	return out
}
