package gateway

import (
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/springgate/springgate/quarantine"
	"gotest.tools/v3/assert"
)

func TestQuarantinesAreLoggedAndCounted(t *testing.T) {
	log, hook := test.NewNullLogger()
	m := newQuarantineMonitor(metrics.NewRegistry())
	now := time.Now()
	part := quarantine.NewHasher("").Part("s", "a1")
	findings := map[quarantine.Fingerprint]quarantine.Finding{part: {Subject: part, Crashes: 3, First: now, Last: now, ProbeAt: now}}
	for i := range 2 * maxQuarantineLogs {
		f := quarantine.Fingerprint{byte(i), 1}
		findings[f] = quarantine.Finding{Subject: f}
	}
	m.update(now, findings, log)
	assert.Equal(t, len(hook.Entries), maxQuarantineLogs+1)
	assert.Equal(t, m.contents.Value(), int64(2*maxQuarantineLogs))
	assert.Equal(t, m.parts.Value(), int64(1))
	m.update(now, findings, log)
	assert.Equal(t, len(hook.Entries), maxQuarantineLogs+1, "nothing has changed")

	one := map[quarantine.Fingerprint]quarantine.Finding{part: findings[part]}
	m.update(now, one, log)
	hook.Reset()
	m.update(now, nil, log)
	last := hook.LastEntry()
	assert.Equal(t, last.Message, "Quarantine ends.")
	assert.Equal(t, last.Data["kind"], "prompt_part")
	assert.Equal(t, last.Data["subject"], part.String())
	assert.Equal(t, m.parts.Value(), int64(0))
}
