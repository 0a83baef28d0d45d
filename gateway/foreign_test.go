package gateway

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/springgate/springgate/dispatch"
	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/mirror"
	"github.com/springgate/springgate/targetconn"
	"gotest.tools/v3/assert"
)

// textDecoder decodes items of the form "SERVICE ADDR"; other values do not describe a
// target.
type textDecoder struct{ Decoder }

func (textDecoder) IsInstance(mirror.Item) bool { return true }

func (textDecoder) Instance(i mirror.Item) (*fleet.Instance, error) {
	inst := &fleet.Instance{ID: i.Key, Revision: i.Revision, Slots: 1}
	if n, _ := fmt.Sscanf(string(i.Value), "%s %s", &inst.Service, &inst.Addr); n != 2 {
		return nil, errors.New("item does not describe a target")
	}
	return inst, nil
}

// Items of the target list that describe no target do not affect others, whoever writes
// them and however often.
func TestInvalidItemsDoNotAffectOthers(t *testing.T) {
	log, lines := test.NewNullLogger()
	log.SetLevel(logrus.InfoLevel)
	discard := logrus.New()
	discard.SetOutput(io.Discard)
	balancer := dispatch.NewBalancer(dispatch.Config{}, rand.New(rand.NewPCG(1, 2)))
	g := New(Config{}, testDialect{}, balancer, targetconn.NewPool(targetconn.Config{}), grantAll{}, NewStats(metrics.NewRegistry()), discard)
	g.SetConfig(fleet.NewConfig(1, routes(), []*fleet.Service{{Name: "s"}}, nil, fleet.Limits{}))
	c := NewControl(ControlOptions{Gateway: g, Balancer: balancer, Decoder: textDecoder{}, Log: log,
		Outage: func() (bool, time.Time) { return false, time.Time{} }, Roster: Roster{RetainFor: -1}})
	usable := func(items ...mirror.Item) (ids []string) {
		c.applyInstances(items)
		for _, i := range c.list {
			ids = append(ids, i.ID)
		}
		return ids
	}
	item := func(key, value string, revision mirror.Revision) mirror.Item {
		return mirror.Item{Key: key, Value: []byte(value), Revision: revision}
	}
	good, other := item("i-1", "s 10.0.0.1:80", 1), item("i-2", "s 10.0.0.2:80", 2)
	assert.DeepEqual(t, usable(good, other), []string{"i-1", "i-2"})
	// A target of a service that is not configured does not replace another at its
	// address.
	assert.DeepEqual(t, usable(good, other, item("x", "unknown 10.0.0.1:80", 3)), []string{"i-1", "i-2"})
	assert.Equal(t, c.foreign.Value(), int64(1))
	lines.Reset()
	for r := mirror.Revision(4); r < 40; r++ {
		assert.DeepEqual(t, usable(good, item("i-2", "?", r), item("y", "", r)), []string{"i-1"})
	}
	assert.Equal(t, c.foreign.Value(), int64(2))
	warnings := 0
	for _, e := range lines.AllEntries() {
		if e.Level == logrus.WarnLevel {
			warnings++
		}
	}
	assert.Equal(t, warnings, 2, "one log record for each")
	assert.DeepEqual(t, usable(good, item("i-2", "s 10.0.0.2:80", 50)), []string{"i-1", "i-2"})
}
