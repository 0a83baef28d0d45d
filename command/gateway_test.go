package command

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/platform"
	"gotest.tools/v3/assert"
)

func TestBudgetOfBytesFollowsFromTheMemoryLimit(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	p := &platformProcess{settings: &platform.Settings{}, log: log}
	assert.Assert(t, p.newBudget(0) == nil, "no budget without a known limit")
	assert.Equal(t, p.newBudget(1<<20).Usage().Budget, int64(1<<20))
	p.settings.Limits.MemoryMB = 184
	size := p.newBudget(0).Usage().Budget
	assert.Assert(t, size > 40<<20 && size < 60<<20, "%d bytes", size)
	assert.Equal(t, p.newBudget(1<<20).Usage().Budget, int64(1<<20), "the setting replaces what is derived")
}
