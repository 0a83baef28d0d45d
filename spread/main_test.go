package spread

import (
	"testing"

	"github.com/springgate/springgate/internal/fixedseed"
)

// checks is the number of event sequences that each stateful test runs.
const checks = 500

func TestMain(m *testing.M) { fixedseed.Main(m, checks) }
