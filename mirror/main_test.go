package mirror

import (
	"testing"

	"github.com/springgate/springgate/internal/fixedseed"
)

// checks is the number of event sequences that each stateful test runs.
const checks = 300

func TestMain(m *testing.M) { fixedseed.Main(m, checks) }
