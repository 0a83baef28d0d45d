// Package trace replays recorded traces: files with one event per line as a
// JSON object. The events are applied in order and contain the expected
// outcomes.
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

// Replay replays each file that matches pattern as a subtest of t: it calls the
// function returned by start with each event. The test fails if fewer than
// minFiles files match, and with file and line if an event has unknown fields.
func Replay[E any](t *testing.T, pattern string, minFiles int, start func(*testing.T) func(E)) {
	files, err := filepath.Glob(pattern)
	assert.NilError(t, err)
	assert.Assert(t, len(files) >= minFiles, "found only %d traces", len(files))
	for _, name := range files {
		t.Run(filepath.Base(name), func(t *testing.T) {
			b, err := os.ReadFile(name)
			assert.NilError(t, err)
			apply := start(t)
			sc := bufio.NewScanner(bytes.NewReader(b))
			for line := 1; sc.Scan(); line++ {
				var e E
				dec := json.NewDecoder(bytes.NewReader(sc.Bytes()))
				dec.DisallowUnknownFields()
				assert.NilError(t, dec.Decode(&e), "%s:%d", name, line)
				apply(e)
			}
		})
	}
}
