package gateway

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/springgate/springgate/dispatch"
	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/mirror"
	"github.com/springgate/springgate/residency"
	"github.com/springgate/springgate/targetconn"
	"gotest.tools/v3/assert"
)

// evacuationDecoder decodes keys of the form "evacuate DOMAIN".
type evacuationDecoder struct{ textDecoder }

func (evacuationDecoder) Evacuation(i mirror.Item) (string, bool) {
	return strings.CutPrefix(i.Key, "evacuate ")
}

// Evacuations follow the mirror of the store. An evacuation of an unknown failure domain
// is counted and has no other effect.
func TestEvacuationsFollowTheMirror(t *testing.T) {
	log, lines := test.NewNullLogger()
	balancer := dispatch.NewBalancer(dispatch.Config{Regions: map[string]string{"a": "north", "b": "south"}}, rand.New(rand.NewPCG(1, 2)))
	g := New(Config{}, testDialect{}, balancer, targetconn.NewPool(targetconn.Config{}), grantAll{}, NewStats(metrics.NewRegistry()), log)
	c := NewControl(ControlOptions{Gateway: g, Balancer: balancer, Decoder: evacuationDecoder{}, Log: log})
	balancer.Apply([]*fleet.Instance{{ID: "i-a", Service: "s", Domain: "a", Slots: 1}, {ID: "i-b", Service: "s", Domain: "b", Slots: 1}},
		map[string]*fleet.Service{"s": {Name: "s"}})
	reached := func(homes ...string) string {
		choice, verdict := balancer.Pick(time.Now(), "s", dispatch.Demand{HomeRegions: residency.HomeRegions{Route: homes}}, nil)
		if verdict != dispatch.Chosen {
			return verdict.String()
		}
		balancer.Cancel(choice.Target, dispatch.Demand{})
		return choice.Instance.Domain
	}
	apply := func(keys ...string) {
		var items []mirror.Item
		for _, k := range keys {
			items = append(items, mirror.Item{Key: k, Value: []byte("{}")})
		}
		c.applyEvacuations(items)
	}
	assert.Equal(t, reached("north"), "a", "regions are known from the start")
	apply("evacuate a", "evacuate nowhere", "config")
	assert.Equal(t, reached("north"), "no_domain")
	assert.Equal(t, reached(), "b")
	assert.Equal(t, c.unknownEvacuations.Value(), int64(1))
	logged := len(lines.AllEntries())
	apply("evacuate nowhere", "evacuate a")
	assert.Equal(t, len(lines.AllEntries()), logged, "one log record for each change")
	apply("evacuate nowhere")
	assert.Equal(t, reached("north"), "a", "evacuation withdrawn")
}
