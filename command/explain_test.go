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

func TestExplainShowsTheLevelThatRefusedARequest(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a.log")
	assert.NilError(t, os.WriteFile(path, []byte(`{"time":"1","part":"control","msg":"Admission level in force.","service":"s","room":1}
{"time":"2","part":"control","msg":"Admission level changed.","service":"s","room":2,"ranks":["0: fraction 1.00 of 2.0, 0 teams limited"]}
{"time":"2","part":"control","msg":"Admission level in force.","service":"other","room":7}
{"time":"3","part":"gateway","msg":"Not answered.","request":"r1","reason":"over_share","service":"s","rank":2,"team":"blue","fraction":0.25}
{"time":"4","part":"control","msg":"Admission level changed.","service":"s","room":3}
{"time":"5","part":"gateway","msg":"Not answered.","request":"r2","reason":"over_share","service":"none","rank":0,"fraction":0.5}
`), 0o600))
	var out bytes.Buffer
	assert.NilError(t, explain(&out, "r1", []string{path}))
	assert.Equal(t, out.String(), "3 "+path+" gateway: Not answered. fraction=0.25 rank=2 reason=over_share service=s team=blue\n\n"+
		"Refused by the admission level of service s: rank 2 (0 is the most urgent), team blue; fraction of these requests admitted: 0.25.\n"+
		"The last record of the level before that, with the fractions of all ranks and the lowest of teams:\n"+
		"2 "+path+" control: Admission level changed. ranks=[0: fraction 1.00 of 2.0, 0 teams limited] room=2 service=s\n")
	out.Reset()
	assert.NilError(t, explain(&out, "r2", []string{path}))
	assert.Equal(t, out.String(), "5 "+path+" gateway: Not answered. fraction=0.5 rank=0 reason=over_share service=none\n\n"+
		"Refused by the admission level of service none: rank 0 (0 is the most urgent), callers without a team; fraction of these requests admitted: 0.5.\n"+
		path+" has no record of the level before.\n")
}
