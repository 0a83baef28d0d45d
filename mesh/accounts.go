package mesh

import (
	"context"
	"time"

	"github.com/springgate/springgate/peer"
)

// accountIdle is how long an account is kept without loads.
const accountIdle = 10 * time.Second

// oweReport records that a home has, or may have, granted a place. The home counts it until the
// next report, which it must get also if the request has ended by then and was in none.
func (m *Mesh) oweReport(home string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.owed[home] = true
}

// owesReports reports whether a home waits for a report because of oweReport.
func (m *Mesh) owesReports() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.owed) > 0
}

// sendAccounts sends each home the loads of this entry at its targets, in a large fleet: there, the
// home of a target alone keeps account of it. Homes that are no neighbours get a link for it, the
// account. Neighbours get the state of this entry with the full reports. msg are the loads to
// report, current all loads. The lock must be held.
func (m *Mesh) sendAccounts(ctx context.Context, now time.Time, msg *peer.Loads, current []peer.TargetLoad, urgent bool) {
	reported, all := m.byHome(msg.Targets), m.byHome(current)
	part := func(addr string) *peer.Loads {
		if msg.Full || m.owed[addr] {
			return &peer.Loads{Full: true, Leaving: msg.Leaving, Targets: all[addr]}
		}
		return &peer.Loads{Leaving: msg.Leaving, Targets: reported[addr]}
	}
	for home := range all {
		m.owed[home] = m.owed[home] || m.links[home] == nil && m.accounts[home] == nil
	}
	delete(m.owed, m.self.Addr)
	for home, owed := range m.owed {
		if owed && m.links[home] == nil && m.accounts[home] == nil {
			m.accounts[home] = m.openLink(ctx, &link{addr: home, class: peer.Traffic, account: true})
		}
	}
	for addr, l := range m.links {
		if msg.Full || urgent || m.owed[addr] || len(reported[addr]) > 0 {
			l.queueLoads(part(addr))
		}
	}
	for addr, l := range m.accounts {
		if m.owed[addr] || len(all[addr]) > 0 {
			l.loadedAt = now
		}
		if msg.Full || m.owed[addr] || len(reported[addr]) > 0 {
			l.queueLoads(part(addr))
		}
	}
	clear(m.owed)
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
