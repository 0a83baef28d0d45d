package peer

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

// Guards against a sender that is no process of the system, for whose first bytes 8 MiB were held for seconds.
func TestLargeFirstFrameIsRefusedUnread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := net.Pipe()
		defer a.Close()
		go func() { _, _ = io.Copy(io.Discard, a) }()
		go func() {
			head := binary.BigEndian.AppendUint32(nil, headSize+MaxFrame)
			_, _ = a.Write(append(head, make([]byte, headSize)...))
		}()
		_, err := NewConn(b, Hello{Host: "server"}, false, nil, &Meter{})
		assert.Assert(t, errors.Is(err, ErrFrameSize), "%v", err)
	})
}
