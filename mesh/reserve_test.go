package mesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/dispatch"
	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/notice"
	"gotest.tools/v3/assert"
)

// startHomeAndRequester starts two entries and returns a target whose home is the first entry.
func startHomeAndRequester(t *testing.T) (home, requester *node, target *fleet.Instance) {
	home = startNode(t, "a", 1, nil, false, nil)
	requester = startNode(t, "b", 1, []string{home.server.Addr()}, false, nil)
	home.until(t, "both entries to discover each other", func() bool { return len(home.mesh.Entries()) == 1 && len(requester.mesh.Entries()) == 1 })
	target = &fleet.Instance{ID: targetIDWithHome(requester, home, "i"), Service: "s", Domain: "a", Slots: 8}
	for _, n := range []*node{home, requester} {
		n.balancer.Apply([]*fleet.Instance{target}, map[string]*fleet.Service{"s": {Name: "s"}})
	}
	requester.reserver.timeout = time.Minute
	return home, requester, target
}

// targetIDWithHome returns the ID of a target whose home is the entry home. The addresses, and
// so the homes, differ from run to run.
func targetIDWithHome(requester, home *node, prefix string) string {
	for n := 0; ; n++ {
		if id := fmt.Sprintf("%s-%d", prefix, n); requester.mesh.home(id, "a") == home.server.Addr() {
			return id
		}
	}
}

func announceLimit(n *node, target *fleet.Instance, perS float64) {
	now := clock.Now()
	n.balancer.RecordStatement(now, *target, notice.Statement{Limit: notice.Limit{Declared: true, PerS: perS}}, now)
}

func paced(target *fleet.Instance) dispatch.Choice {
	return dispatch.Choice{Instance: *target, Paced: true, Admission: dispatch.Admission{MaxWait: time.Hour}}
}

// Guards against a home entry that does not know a target's request limit, and so grants more
// than the limit that the requesting entry has received from the target.
func TestHomeLearnsALimitFromTheRequester(t *testing.T) {
	home, requester, target := startHomeAndRequester(t)
	announceLimit(requester, target, 1)
	assert.Equal(t, requester.reserver.Reserve(t.Context(), paced(target), 10), dispatch.ReservationDeferred)
	assert.Equal(t, home.balancer.ReportOf(target.ID).Limit.PerS, 1.0)
}

func TestRequesterLearnsALimitFromTheHome(t *testing.T) {
	home, requester, target := startHomeAndRequester(t)
	announceLimit(home, target, 1)
	choice := paced(target)
	choice.Paced = false
	assert.Equal(t, requester.reserver.Reserve(t.Context(), choice, 10), dispatch.ReservationDeferred)
	assert.Equal(t, requester.balancer.ReportOf(target.ID).Limit.PerS, 1.0)
}

// Guards against using a target whose request limit is shared by all entries when its home cannot
// be called: an entry then took its request as granted.
func TestPacedTargetIsNotUsedWithoutItsHome(t *testing.T) {
	home, requester, target := startHomeAndRequester(t)
	unknown := *target
	unknown.ID = targetIDWithHome(requester, home, "unknown")
	assert.Equal(t, requester.reserver.Reserve(t.Context(), paced(&unknown), 10), dispatch.ReservationDeferred, "the home does not know the target")
	home.server.Close()
	assert.Equal(t, requester.reserver.Reserve(t.Context(), paced(target), 10), dispatch.ReservationDeferred, "the home is unreachable")
	choice := paced(target)
	choice.Paced = false
	assert.Equal(t, requester.reserver.Reserve(t.Context(), choice, 10), dispatch.ReservationGranted)
}

// Full load reports carry the request limits of targets that the sender knows.
func TestFullLoadReportsCarryLimits(t *testing.T) {
	home, requester, target := startHomeAndRequester(t)
	announceLimit(requester, target, 2)
	home.until(t, "the home to receive the limit", func() bool { return home.balancer.ReportOf(target.ID).Limit.PerS == 2 })
}
