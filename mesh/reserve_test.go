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

// homeAndAsker are two entries and a target whose home is the first.
func homeAndAsker(t *testing.T) (home, asker *node, target *fleet.Instance) {
	home = startNode(t, "a", 1, nil, false, nil)
	asker = startNode(t, "b", 1, []string{home.server.Addr()}, false, nil)
	home.until(t, "both", func() bool { return len(home.mesh.Entries()) == 1 && len(asker.mesh.Entries()) == 1 })
	target = &fleet.Instance{ID: homedAt(asker, home, "i"), Service: "s", Domain: "a", Slots: 8}
	for _, n := range []*node{home, asker} {
		n.book.Apply([]*fleet.Instance{target}, map[string]*fleet.Service{"s": {Name: "s"}})
	}
	asker.homes.timeout = time.Minute
	return home, asker, target
}

// homedAt returns the ID of a target whose home is an entry. The addresses, and so the
// homes, differ from run to run.
func homedAt(asker, home *node, prefix string) string {
	for n := 0; ; n++ {
		if id := fmt.Sprintf("%s-%d", prefix, n); asker.mesh.home(id, "a") == home.server.Addr() {
			return id
		}
	}
}

func nameLimit(n *node, target *fleet.Instance, perS float64) {
	now := clock.Now()
	n.book.RecordStatement(now, *target, notice.Statement{Limit: notice.Limit{Declared: true, PerS: perS}}, now)
}

func paced(target *fleet.Instance) dispatch.Choice {
	return dispatch.Choice{Instance: *target, Paced: true, Admission: dispatch.Admission{MaxWait: time.Hour}}
}

// A home that has not heard of a limit granted what the asker knew to be too much.
func TestHomeLearnsALimitFromTheAsker(t *testing.T) {
	home, asker, target := homeAndAsker(t)
	nameLimit(asker, target, 1)
	assert.Equal(t, asker.homes.Reserve(t.Context(), paced(target), 10), dispatch.ReservationDeferred)
	assert.Equal(t, home.book.ReportOf(target.ID).Limit.PerS, 1.0)
}

func TestAskerLearnsALimitFromTheHome(t *testing.T) {
	home, asker, target := homeAndAsker(t)
	nameLimit(home, target, 1)
	choice := paced(target)
	choice.Paced = false
	assert.Equal(t, asker.homes.Reserve(t.Context(), choice, 10), dispatch.ReservationDeferred)
	assert.Equal(t, asker.book.ReportOf(target.ID).Limit.PerS, 1.0)
}

// An entry that could not ask the home took a place as granted, also at a target whose
// limit all entries share.
func TestPacedTargetIsNotUsedWithoutItsHome(t *testing.T) {
	home, asker, target := homeAndAsker(t)
	unknown := *target
	unknown.ID = homedAt(asker, home, "unknown")
	assert.Equal(t, asker.homes.Reserve(t.Context(), paced(&unknown), 10), dispatch.ReservationDeferred, "a home that does not know it")
	home.server.Close()
	assert.Equal(t, asker.homes.Reserve(t.Context(), paced(target), 10), dispatch.ReservationDeferred, "nobody to ask")
	choice := paced(target)
	choice.Paced = false
	assert.Equal(t, asker.homes.Reserve(t.Context(), choice, 10), dispatch.ReservationGranted)
}

// Entries tell each other of limits in their accounts.
func TestFullAccountsTellOfLimits(t *testing.T) {
	home, asker, target := homeAndAsker(t)
	nameLimit(asker, target, 2)
	home.until(t, "the limit", func() bool { return home.book.ReportOf(target.ID).Limit.PerS == 2 })
}
