package digest

import (
	"fmt"
	"strings"
	"testing"

	"github.com/zeebo/blake3"
	"gotest.tools/v3/assert"
)

func TestTextForm(t *testing.T) {
	d := Of([]byte("x"))
	got, err := Parse(d.String())
	assert.NilError(t, err)
	assert.Equal(t, got, d)
	for _, bad := range []string{"", "sha256:", "md5:00", "sha256:" + strings.Repeat("g", 64), d.String() + "0"} {
		_, err := Parse(bad)
		assert.Assert(t, err != nil, bad)
	}
	assert.Assert(t, Digest{}.IsZero())
}

// BenchmarkDigest compares the digest in use with the alternative that was
// weighed.
func BenchmarkDigest(b *testing.B) {
	for _, size := range []int{256 << 10, 1 << 20, 8 << 20} {
		data := make([]byte, size)
		b.Run(fmt.Sprintf("sha256/%d", size), func(b *testing.B) {
			b.SetBytes(int64(size))
			for b.Loop() {
				Of(data)
			}
		})
		b.Run(fmt.Sprintf("blake3/%d", size), func(b *testing.B) {
			b.SetBytes(int64(size))
			for b.Loop() {
				blake3.Sum256(data)
			}
		})
	}
}
