package gateway

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an event that was relayed in two where a line fills the read buffer.
func TestLineThatFillsTheReadBufferDoesNotEndItsEvent(t *testing.T) {
	const buffer = 16
	for n := range 5 * buffer {
		text := fmt.Sprintf("id: 7\ndata: %s\ndata: rest\n\n", strings.Repeat("x", n))
		e := eventReader{r: bufio.NewReaderSize(strings.NewReader(text), buffer), memory: &allocation{}}
		ev, err := e.next()
		assert.NilError(t, err)
		assert.Equal(t, string(ev.raw), text)
		assert.Equal(t, ev.id, "7")
		_, err = e.next()
		assert.ErrorIs(t, err, io.EOF)
	}
}

// Guards against the end of a long line that looked like the id of its event.
func TestEndOfALongLineIsNoID(t *testing.T) {
	const buffer = 16
	text := "id: 7\ndata: " + strings.Repeat("x", 2*buffer-len("data: ")) + "id: 9\n\n"
	e := eventReader{r: bufio.NewReaderSize(strings.NewReader(text), buffer), memory: &allocation{}}
	ev, err := e.next()
	assert.NilError(t, err)
	assert.Equal(t, ev.id, "7")
}
