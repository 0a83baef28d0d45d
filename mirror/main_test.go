package mirror

import (
	"testing"

	"github.com/springgate/springgate/internal/fixedseed"
)

// checks is how many courses of events each stateful test runs.
const checks = 300

func TestMain(m *testing.M) { fixedseed.Main(m, checks) }
