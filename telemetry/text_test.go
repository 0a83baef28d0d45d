package telemetry

import (
	"strings"
	"testing"

	metrics "github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

func TestWriteText(t *testing.T) {
	r := metrics.NewRegistry()
	metrics.NewRegisteredCounter("a.refused", r).Inc(2)
	metrics.NewRegisteredGauge("b-size", r).Update(7)
	metrics.NewRegisteredGaugeFloat64("c.share", r).Update(0.25)
	var out strings.Builder
	WriteText(&out, r)
	assert.Equal(t, out.String(), "springgate_a_refused_total 2\nspringgate_b_size 7\nspringgate_c_share 0.25\n")
}
