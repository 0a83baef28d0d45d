package overload

import (
	"testing"

	"github.com/springgate/springgate/internal/fixedseed"
)

const checks = 30

func TestMain(m *testing.M) { fixedseed.Main(m, checks) }
