package command

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"
	"gotest.tools/v3/assert"
)

// run executes a command line and returns its exit status and output.
func run(t *testing.T, c *cli.Command, args ...string) (int, string) {
	t.Helper()
	var out bytes.Buffer
	c.Writer, c.ErrWriter = &out, &out
	return Main(c, append([]string{c.Name}, args...)), out.String()
}

func writeFleet(t *testing.T, content string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "fleet.yaml")
	assert.NilError(t, os.WriteFile(name, []byte(content), fileMode))
	return name
}

const smallFleet = "format: 1\nfleet: f\nteams: [{name: default}]\nservices: [{name: s, kind: plain, hosts: [{domain: d, names: [h]}]}]\n"

func TestExitStatus(t *testing.T) {
	good, bad := writeFleet(t, smallFleet), writeFleet(t, "format: 9\n")
	for _, c := range []struct {
		want int
		args []string
	}{
		{0, []string{"version"}}, {0, []string{"check", good}}, {0, []string{"check", good, good}},
		{1, []string{"check", bad}}, {1, []string{"check", "no such file"}},
		{2, []string{"check"}}, {2, []string{"frobnicate"}}, {2, []string{"serve", "--nonsense"}},
		{2, []string{"serve", "--subset", "1"}}, {2, []string{"demo", "--hosts", "0"}}, {2, []string{"pack", good}},
	} {
		got, out := run(t, NewSpringgate(), c.args...)
		assert.Equal(t, got, c.want, "%v: %s", c.args, out)
	}
	got, _ := run(t, NewAgent(), "serve")
	assert.Equal(t, got, 2)
}

func TestPackWritesHeadAndParts(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "packed")
	got, out := run(t, NewSpringgate(), "pack", "--revision", "7", "--out", dir, writeFleet(t, smallFleet))
	assert.Equal(t, got, 0, out)
	head, err := os.ReadFile(filepath.Join(dir, "head.json"))
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(head), `"revision": 7`))
	parts, err := os.ReadDir(filepath.Join(dir, "parts"))
	assert.NilError(t, err)
	assert.Equal(t, len(parts), 1)
}

func TestCheckShowsChanges(t *testing.T) {
	got, out := run(t, NewSpringgate(), "check", writeFleet(t, smallFleet), writeFleet(t, strings.Replace(smallFleet, "names: [h]", "names: [h, i]", 1)))
	assert.Equal(t, got, 0)
	assert.Assert(t, strings.Contains(out, "services[s].hosts[i]: (absent) -> "), out)
}
