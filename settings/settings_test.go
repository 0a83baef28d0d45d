package settings

import (
	"context"
	"testing"
	"time"

	"github.com/urfave/cli/v3"
	"gotest.tools/v3/assert"
)

type values struct {
	name, url, addr, level string
	wait                   time.Duration
	n                      int
	size                   int64
	on                     bool
}

func load(args ...string) (values, error) {
	var v values
	s := &Set{}
	s.Text(&v.name, "host", "name", "", true)
	s.URL(&v.url, "config-url", "base URL", "http://h:1/")
	s.Address(&v.addr, "listen", "address", ":0", true)
	s.Choice(&v.level, "log-level", "level", "info", "info", "debug")
	s.Duration(&v.wait, "notice", "wait", time.Second, 0, time.Minute)
	s.Int(&v.n, "subset", "number", 64, 2, 100)
	s.Bytes(&v.size, "max-body", "size", "64MiB", 1, 1<<40)
	s.Bool(&v.on, "on", "switch", false)
	c := &cli.Command{Name: "x", Flags: s.Flags(), Action: func(_ context.Context, c *cli.Command) error { return s.Load(c) }}
	c.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	err := c.Run(context.Background(), append([]string{"x"}, args...))
	return v, err
}

func TestDefaultsAndValues(t *testing.T) {
	v, err := load("--host", "h")
	assert.NilError(t, err)
	assert.Equal(t, v.size, int64(64<<20))
	assert.Equal(t, v.url, "http://h:1")
	t.Setenv("SPRINGGATE_NOTICE", "7s")
	t.Setenv("SPRINGGATE_HOST", "from-env")
	v, err = load("--subset", "9")
	assert.NilError(t, err)
	assert.Equal(t, v.wait, 7*time.Second)
	assert.Equal(t, v.name, "from-env")
	assert.Equal(t, v.n, 9)
}

func TestAllInvalidSettingsAreReported(t *testing.T) {
	t.Setenv("SPRINGGATE_LOG_LEVEL", "loud")
	_, err := load("--config-url", "ftp://x", "--listen", "nowhere", "--notice", "2h", "--subset", "1", "--max-body", "many", "--on", "perhaps")
	invalid, ok := err.(ValidationErrors)
	assert.Assert(t, ok, "%v", err)
	assert.Equal(t, len(invalid), 8)
	assert.Equal(t, invalid.ExitCode(), 2)
	for _, want := range []string{
		`--host (SPRINGGATE_HOST): "": want a non-empty string`,
		`--log-level (SPRINGGATE_LOG_LEVEL): "loud": want one of info, debug`,
		`--subset (SPRINGGATE_SUBSET): "1": want a whole number from 2 to 100`,
		`--max-body (SPRINGGATE_MAX_BODY): "many": want a size such as 64MiB`,
	} {
		assert.ErrorContains(t, err, want)
	}
}

func TestList(t *testing.T) {
	var got string
	s := &Set{}
	s.List("without", "switched off", []string{"a", "b"}, func(v string) error {
		got = v
		return check(v != "c")
	})
	run := func(v string) error {
		c := &cli.Command{Name: "x", Flags: s.Flags(), Action: func(_ context.Context, c *cli.Command) error { return s.Load(c) }}
		c.ExitErrHandler = func(context.Context, *cli.Command, error) {}
		return c.Run(context.Background(), []string{"x", "--without", v})
	}
	assert.NilError(t, run("a,b"))
	assert.Equal(t, got, "a,b")
	assert.ErrorContains(t, run("c"), "none or some of a,b")
}

func TestBytes(t *testing.T) {
	for s, want := range map[string]int64{"5": 5, "5B": 5, "2KiB": 2048, "3MiB": 3 << 20, "1GiB": 1 << 30} {
		n, err := parseBytes(s)
		assert.NilError(t, err)
		assert.Equal(t, n, want)
	}
	for _, s := range []string{"", "MiB", "-", "1TiB", "1.5MiB", "9999999999999GiB"} {
		_, err := parseBytes(s)
		assert.Assert(t, err != nil, s)
	}
}
