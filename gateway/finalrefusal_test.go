package gateway

import (
	"net/http"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"
)

// Guards against final refusals whose log records do not tell wrong requests from proper ones.
func TestFinalRefusalsAreLoggedWithTheirCause(t *testing.T) {
	log, records := logtest.NewNullLogger()
	f := newTestGateway(t)
	f.gateway.log = log
	for _, c := range []struct {
		path, body string
		header     []string
		status     int
		fields     []string
	}{
		{"/none/" + strings.Repeat("x", 2*maxLoggedPath), "b", nil, http.StatusNotFound, []string{"host", "path", "copy", "copy_age_ms"}},
		{"/safe/x", "b", []string{"Key", "wrong"}, http.StatusUnauthorized, []string{"key", "copy", "copy_age_ms"}},
		{"/safe/x", strings.Repeat("b", 2<<10), nil, http.StatusRequestEntityTooLarge, []string{"length", "read", "limit"}},
	} {
		records.Reset()
		assert.Equal(t, f.call(http.MethodPost, c.path, c.body, c.header...).status, c.status)
		entry := lastWarning(records)
		for _, field := range c.fields {
			assert.Assert(t, entry.Data[field] != nil, "status %d: %s", c.status, field)
		}
		path, _ := entry.Data["path"].(string)
		assert.Assert(t, len(path) <= maxLoggedPath && entry.Data["key"] != "wrong")
	}
}

func lastWarning(records *logtest.Hook) *logrus.Entry {
	for all := records.AllEntries(); len(all) > 0; all = all[:len(all)-1] {
		if last := all[len(all)-1]; last.Level == logrus.WarnLevel {
			return last
		}
	}
	return &logrus.Entry{}
}
