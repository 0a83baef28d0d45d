package command

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

func TestExplainSortsLinesOfAllProcesses(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	a := write("a.log", `{"time":"2026-12-02T16:00:02Z","part":"gateway","msg":"Not answered.","request":"r1","status":502,"reason":"connection_lost"}
not json r1
{"time":"2026-12-02T16:00:02Z","part":"gateway","msg":"Answered.","request":"r2","note":"r1"}
`)
	b := write("b.log", "12.3 host-b {\"time\":\"2026-12-02T16:00:01Z\",\"part\":\"gateway\",\"msg\":\"Trying again.\",\"request\":\"r1\",\"sends\":1}\n")
	var out bytes.Buffer
	assert.NilError(t, explain(&out, "r1", []string{a, b}))
	assert.Equal(t, out.String(), "2026-12-02T16:00:01Z "+b+" gateway: Trying again. sends=1\n"+
		"2026-12-02T16:00:02Z "+a+" gateway: Not answered. reason=connection_lost status=502\n")
	assert.ErrorContains(t, explain(&out, "r9", []string{a, b}), "no log line found for request r9")
	assert.Assert(t, explain(&out, "r1", []string{filepath.Join(dir, "none")}) != nil)
}
