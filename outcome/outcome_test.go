package outcome

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// The table in docs/REASONS.md must list every reason with its outcome, status and
// whether it is retryable.
func TestReasonsAreDocumented(t *testing.T) {
	b, err := os.ReadFile("../docs/REASONS.md")
	assert.NilError(t, err)
	rows := 0
	for _, line := range strings.Split(string(b), "\n") {
		if strings.HasPrefix(line, "| `") {
			rows++
		}
	}
	for _, i := range All() {
		row := fmt.Sprintf("| `%s` | %s | %d | %s |", i.Reason, i.Outcome, i.Status, yesNo(i.Retryable))
		assert.Assert(t, strings.Contains(string(b), row), "missing: %s", row)
	}
	assert.Equal(t, rows, len(All()), "rows of the table")
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func TestLookup(t *testing.T) {
	assert.Equal(t, Lookup(QueueFull).Outcome, NotRun)
	assert.Equal(t, Lookup("undefined").Outcome, Unknown)
	seen := map[Reason]bool{}
	for _, i := range All() {
		assert.Assert(t, !seen[i.Reason], "%s twice", i.Reason)
		assert.Assert(t, i.Text != "" && i.Status >= 400)
		seen[i.Reason] = true
	}
}
