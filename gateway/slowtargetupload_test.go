package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/httpclient"
	"github.com/springgate/springgate/internal/smallwindow"
	"gotest.tools/v3/assert"
)

// pausingTarget reads a part of the request's body, nothing for a while, and then the rest.
type pausingTarget struct {
	pause time.Duration
	early bool // the answer begins before the body has been read
}

func (p pausingTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Signed", "by the target")
	if p.early {
		_ = http.NewResponseController(w).EnableFullDuplex()
		_, _ = io.WriteString(w, eventText(1))
		_ = http.NewResponseController(w).Flush()
	}
	head, err := io.CopyN(io.Discard, r.Body, 1<<10)
	if err != nil {
		return
	}
	<-time.After(p.pause)
	rest, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	fmt.Fprintf(w, "data: %d bytes\n\n", head+rest)
}

// newSmallWindowTarget starts a target whose connections receive few bytes before it reads them.
func newSmallWindowTarget(t *testing.T, h http.Handler) *target {
	s := httptest.NewUnstartedServer(h)
	s.Listener.Close()
	s.Listener = smallwindow.Listen(t)
	s.Start()
	t.Cleanup(s.Close)
	return &target{Server: s}
}

// allowLongUploads lets requests have bodies of uploadBytes and last for longer than DeliveryTimeout.
func (f *testGateway) allowLongUploads() *testGateway {
	f.t.Helper()
	list := routes()
	for _, r := range list {
		r.Timeout = 3 * httpclient.DeliveryTimeout
	}
	assert.Assert(f.t, f.gateway.SetConfig(fleet.NewConfig(2, list, []*fleet.Service{{Name: "s"}}, map[string]*fleet.Team{"secret": {Name: "blue"}},
		fleet.Limits{BodyBytes: uploadBytes})))
	return f
}

// Guards against targets that read nothing for a while in the middle of an upload, within the time of the request,
// and whose callers get a refusal or a cut stream.
func TestTargetThatPausesReadingAnswersTheUpload(t *testing.T) {
	for _, pause := range []time.Duration{httpclient.DeliveryTimeout + 600*time.Millisecond, httpclient.DeliveryTimeout + 2*time.Second} {
		for _, size := range []int{20 * kib, 200 * kib, 3 * mib} {
			for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x", "/stream/early"} {
				t.Run(fmt.Sprint(path, " ", size, " ", pause), func(t *testing.T) {
					t.Parallel()
					early := path == "/stream/early"
					f := newTestGateway(t, newSmallWindowTarget(t, pausingTarget{pause, early})).allowLongUploads()
					a := f.call(http.MethodPost, path, strings.Repeat("u", size))
					assert.NilError(t, a.err)
					assert.Equal(t, a.status, http.StatusOK)
					want := fmt.Sprintf("data: %d bytes\n\n", size)
					if early {
						want = eventText(1) + want
					}
					assert.Equal(t, a.body, want)
				})
			}
		}
	}
}
