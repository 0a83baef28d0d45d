// Package trace replays recorded traces: files of JSON objects, one event a
// line, played one after the other against outcomes that they state.
package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// Replay plays each file that matches pattern as a subtest of t, with the
// player that start returns. There must be at least least files. Unknown
// fields of an event are refused with file and line.
func Replay[E any](t *testing.T, pattern string, least int, start func(*testing.T) func(E)) {
	files, err := filepath.Glob(pattern)
	assert.NilError(t, err)
	assert.Assert(t, len(files) >= least, "%d traces", len(files))
	for _, name := range files {
		t.Run(filepath.Base(name), func(t *testing.T) {
			b, err := os.ReadFile(name)
			assert.NilError(t, err)
			play := start(t)
			sc := bufio.NewScanner(bytes.NewReader(b))
			for line := 1; sc.Scan(); line++ {
				var e E
				dec := json.NewDecoder(bytes.NewReader(sc.Bytes()))
				dec.DisallowUnknownFields()
				assert.NilError(t, dec.Decode(&e), "%s:%d", name, line)
				play(e)
			}
		})
	}
}
