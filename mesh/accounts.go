package mesh

import (
	"context"
	"time"

	"github.com/springgate/springgate/peer"
)

// accountIdle is how long an account is kept without loads.
const accountIdle = 10 * time.Second

// requireReport records that a home has, or may have, granted a place. The home counts it until the
// next report, which it must get also if the request has ended by then and was in none.
func (m *Mesh) requireReport(home string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reportsDue[home] = true
}

// hasDueReports reports whether a home needs a report because of requireReport.
func (m *Mesh) hasDueReports() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.reportsDue) > 0
}

// sendAccounts sends each home the loads of this entry at its targets, in a large fleet: there, the
// home of a target alone keeps account of it. Homes that are no neighbours get a link for it, the
// account. Neighbours get the state of this entry with the full reports. msg are the loads to
// report, current all loads. The lock must be held.
func (m *Mesh) sendAccounts(ctx context.Context, now time.Time, msg *peer.Loads, current []peer.TargetLoad, urgent bool) {
	reported, all := m.byHome(msg.Targets), m.byHome(current)
	part := func(addr string) *peer.Loads {
		if msg.Full || m.reportsDue[addr] {
			return &peer.Loads{Full: true, Leaving: msg.Leaving, Targets: all[addr]}
		}
		return &peer.Loads{Leaving: msg.Leaving, Targets: reported[addr]}
	}
	m.openAccounts(ctx, all)
	for addr, l := range m.links {
		if msg.Full || urgent || m.reportsDue[addr] || len(reported[addr]) > 0 {
			l.queueLoads(part(addr))
		}
	}
	for addr, l := range m.accounts {
		if m.reportsDue[addr] || len(all[addr]) > 0 {
			l.loadedAt = now
		}
		if msg.Full || m.reportsDue[addr] || len(reported[addr]) > 0 {
			l.queueLoads(part(addr))
		}
	}
	clear(m.reportsDue)
}

// openAccounts opens a link to each home that is told something and has none.
func (m *Mesh) openAccounts(ctx context.Context, loads map[string][]peer.TargetLoad) {
	linked := func(home string) bool { return home == m.self.Addr || m.links[home] != nil || m.accounts[home] != nil }
	for home := range loads {
		if !linked(home) {
			m.reportsDue[home] = true // its first report is a full one
		}
	}
	for home := range m.reportsDue {
		if !linked(home) {
			m.accounts[home] = m.openLink(ctx, &link{addr: home, class: peer.Traffic, account: true})
		}
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
