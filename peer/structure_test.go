package peer

import (
	"bytes"
	"compress/flate"
	"runtime"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
)

// allocated returns how many bytes f allocates.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Guards against an array that claims more elements than there are, for all of which the decoder made room.
func TestClaimedElementsTakeNoMemory(t *testing.T) {
	const claimed = "\xdd\x00\x40\x00\x00" // an array of 4 Mi elements
	for name, decode := range map[string]func() error{
		"manifest": func() error {
			_, err := frame{kind: kindManifest, payload: []byte("\x91" + claimed)}.decode()
			return err
		},
		"events": func() error {
			_, err := UnpackEvents(deflated(t, []byte(claimed)))
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			var err error
			n := allocated(func() { err = decode() })
			assert.Assert(t, errors.Is(err, ErrPayload), "%v", err)
			assert.Assert(t, n < 4<<20, "%d bytes allocated", n)
		})
	}
}

func deflated(t *testing.T, b []byte) []byte {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	assert.NilError(t, err)
	_, err = w.Write(b)
	assert.NilError(t, err)
	assert.NilError(t, w.Close())
	return out.Bytes()
}

func TestStructureOfPayloads(t *testing.T) {
	valid := []any{nil, true, 0, -1, -40, 200, 70_000, 1 << 40, -70_000, 1.5, float32(1.5), "", "short", strings.Repeat("x", 300),
		strings.Repeat("x", 70_000), make([]byte, 10), make([]byte, 300), make([]byte, 70_000), []int{}, []int{1, 2}, make([]int, 20),
		make([]int, 70_000), map[string]int{}, map[string][]string{"a": {"b", "c"}, "d": nil}, []any{[]any{}, []any{[]any{1}}}}
	var all []byte
	for _, v := range valid {
		b, err := msgpack.Marshal(v)
		assert.NilError(t, err)
		assert.NilError(t, checkPayload(b), "%T of %d bytes", v, len(b))
		all = append(all, b...)
		if len(b) > 1 {
			assert.Assert(t, checkPayload(b[:len(b)-1]) != nil, "%T without its last byte", v)
		}
	}
	assert.NilError(t, checkPayload(all))
	nested := func(n int) []byte { return []byte(strings.Repeat("\x91", n) + "\x01") }
	assert.NilError(t, checkPayload(nested(maxNesting-1)))
	assert.Assert(t, checkPayload(nested(maxNesting+1)) != nil)
	assert.Assert(t, checkPayload([]byte{0xc1}) != nil)
	assert.Assert(t, checkPayload(append([]byte("\xdd\x00\x20\x00\x00"), make([]byte, 2<<20)...)) != nil, "more values than maxValues")
}
