package intent

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/springgate/springgate/digest"
	"gotest.tools/v3/assert"
)

const manifestA = "blake3:aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

const goodFile = `format: 1
fleet: wallet
sources:
  - {name: origin, kind: origin, url: "http://10.0.0.9:80"}
teams:
  - {name: citizens, weight: 4}
services:
  - name: assistant
    kind: engine
    hosts:
      - {domain: muscat, names: [m1, m2]}
    model: {name: wallet-8b, manifest: "` + manifestA + `"}
  - name: balances
    kind: plain
    hosts:
      - {domain: muscat, names: [m3]}
`

func TestParseGood(t *testing.T) {
	f, err := Parse("fleet.yaml", []byte(goodFile))
	assert.NilError(t, err)
	s := f.Service("assistant")
	assert.Equal(t, s.MaxUnavailable, 1)
	assert.Equal(t, s.Spread, SpreadTime)
	assert.Equal(t, s.Limits.Timeout, DefaultTimeout)
	assert.Equal(t, f.ServiceOf("m3").Name, "balances")
	assert.Equal(t, len(s.Versions()), 1)
}

func TestParseErrors(t *testing.T) {
	edit := func(old, new string) string {
		assert.Assert(t, strings.Contains(goodFile, old), old)
		return strings.Replace(goodFile, old, new, 1)
	}
	cases := map[string]struct{ file, want string }{
		"empty":         {"", "f:1: file: empty"},
		"not yaml":      {"a: [", "f:1: file: not YAML"},
		"two documents": {goodFile + "---\na: 1\n", "more than one document"},
		"alias":         {edit("fleet: wallet", "fleet: &x wallet"), "anchors and aliases are not allowed"},
		"not a mapping": {"- 1\n", "f:1: : want a mapping with format"},
		"unknown field": {edit("fleet: wallet", "fleet: wallet\ncolour: red"), "f:3: colour: unknown field; allowed: format, fleet"},
		"doubled field": {edit("fleet: wallet", "fleet: wallet\nfleet: other"), "f:3: fleet: field given twice, first in line 2"},
		"no format":     {edit("format: 1\n", ""), "format: missing"},
		"newer format":  {edit("format: 1", "format: 2"), "f:1: format: 2: want a whole number from 1 to 1"},
		"wrong type":    {edit("weight: 4", "weight: [4]"), "f:6: teams[0].weight: want a whole number"},
		"weight":        {edit("weight: 4", "weight: 0"), "f:6: teams[0].weight: 0: want a whole number from 1 to 1000"},
		"kind":          {edit("kind: plain", "kind: simple"), `f:14: services[1].kind: "simple": want one of engine, plain`},
		"url":           {edit("http://10.0.0.9:80", "10.0.0.9"), "sources[0].url"},
		"digest":        {edit(manifestA, "blake3:12"), "services[0].model.manifest"},
		"host twice":    {edit("names: [m3]", "names: [m1]"), `host "m1" is already a host of service "assistant"`},
		"service twice": {edit("name: balances", "name: assistant"), `"assistant" is named twice`},
		"no source":     {edit("sources:\n  - {name: origin, kind: origin, url: \"http://10.0.0.9:80\"}\n", ""), "no source of kind origin"},
		"plain model":   {edit("kind: plain", "kind: plain\n    fenced: true"), "services[1].fenced: only allowed for kind: engine"},
		"unavailable":   {edit("model:", "max_unavailable: 3\n    model:"), "max_unavailable: 3: want a whole number from 1 to 2"},
		"timeout":       {edit("kind: plain", "kind: plain\n    limits: {timeout: 5}"), "limits.timeout: want a duration"},
		"too large":     {goodFile + strings.Repeat("#", MaxSize), "want at most"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("f", []byte(c.file))
			assert.ErrorContains(t, err, c.want)
		})
	}
}

func TestParseListsAllErrors(t *testing.T) {
	file := strings.NewReplacer("weight: 4", "weight: 0", "kind: plain", "kind: simple", "fleet: wallet", "fleet: ' '").Replace(goodFile)
	_, err := Parse("f", []byte(file))
	assert.Equal(t, len(err.(ValidationErrors)), 3, "%s", err)
}

func TestDiff(t *testing.T) {
	a, err := Parse("a", []byte(goodFile))
	assert.NilError(t, err)
	b, err := Parse("b", []byte(strings.NewReplacer("weight: 4", "weight: 5", "[m1, m2]", "[m1]").Replace(goodFile)))
	assert.NilError(t, err)
	assert.Equal(t, len(Diff(a, a)), 0)
	var fields []string
	for _, c := range Diff(a, b) {
		fields = append(fields, c.Field)
	}
	assert.DeepEqual(t, fields, []string{"teams[citizens]", "services[assistant].hosts[m2]"})
}

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../examples/*.yaml")
	assert.NilError(t, err)
	assert.Assert(t, len(files) >= 2)
	for _, name := range files {
		b, err := os.ReadFile(name)
		assert.NilError(t, err)
		_, err = Parse(name, b)
		assert.NilError(t, err)
	}
}

// largeFile returns a fleet file with the given number of hosts.
func largeFile(hosts int) []byte {
	var b strings.Builder
	head, _, _ := strings.Cut(goodFile, "    hosts:")
	b.WriteString(head + "    model: {name: m, manifest: \"" + manifestA + "\"}\n    hosts:\n      - domain: muscat\n        names:\n")
	for i := range hosts {
		fmt.Fprintf(&b, "          - host-%05d.muscat.example\n", i)
	}
	return []byte(b.String())
}

func TestPackSplitsByContent(t *testing.T) {
	file := largeFile(4400)
	h, parts := Pack(7, file)
	var joined []byte
	old := map[digest.Digest]bool{}
	for i, p := range parts {
		assert.Equal(t, h.Parts[i].Digest, digest.Of(p))
		assert.Assert(t, len(p) <= MaxPart)
		joined = append(joined, p...)
		old[digest.Of(p)] = true
	}
	assert.Equal(t, string(joined), string(file))
	assert.NilError(t, h.check())
	assert.Assert(t, len(parts) > 4)

	changed := strings.Replace(string(file), "host-02200", "host-x2200-longer", 1)
	next, _ := Pack(8, []byte(changed))
	changedParts := 0
	for _, p := range next.Parts {
		if !old[p.Digest] {
			changedParts++
		}
	}
	assert.Assert(t, changedParts <= 2, "%d parts changed", changedParts)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(goodFile))
	f.Add([]byte("format: 1\nservices: [{}]\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		fleet, err := Parse("f", b)
		if err != nil {
			assert.Assert(t, len(err.(ValidationErrors)) > 0)
			return
		}
		for i := range fleet.Services {
			assert.Assert(t, fleet.Service(fleet.Services[i].Name) != nil)
			assert.Assert(t, len(fleet.Services[i].Hosts) > 0)
		}
	})
}

func FuzzParseHead(f *testing.F) {
	f.Add([]byte(`{"format":1,"revision":3,"digest":"` + manifestA + `","size":0,"parts":[]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		if h, err := ParseHead(b); err == nil {
			assert.Assert(t, h.Revision > 0 && h.Size <= MaxSize)
		}
	})
}
