package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/platform"
)

// startEngineWithWriteTimeout starts a runner that streams more data than the socket buffers hold,
// and closes a stream on which a write blocks for longer than writeTimeout.
func (f *fleet) startEngineWithWriteTimeout(id string, writeTimeout time.Duration) *httptest.Server {
	event := "data: " + strings.Repeat("x", 64<<10) + "\n\n"
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == platform.PathReport {
			fmt.Fprint(writer, `{"models":[{"name":"m","version":1}],"busy":false,"seq":0}`)
			return
		}
		header := writer.Header()
		header.Set(platform.HeaderRequestID, request.Header.Get(platform.HeaderRequestID))
		header.Set(platform.HeaderResponseStamp, "s")
		header.Set(platform.HeaderWeightVersions, "1")
		controller := http.NewResponseController(writer)
		for i := range 500 {
			_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := fmt.Fprintf(writer, "id: %d\n%s", i+1, event); err != nil {
				return
			}
		}
	}))
	f.t.Cleanup(server.Close)
	f.store.Put(platform.KindRunners, id, map[string]any{
		"service": "engines", "address": strings.TrimPrefix(server.URL, "http://"), "zone": "z", "version": "v1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "seq": 0, "models": []map[string]any{{"name": modelName, "version": 1}},
	})
	return server
}

// A runner closes the response of a caller that does not read it. That must not count as a failure
// of the runner, because other callers would then be kept from it.
func TestSlowReaderDoesNotCountAgainstRunner(t *testing.T) {
	t.Parallel()
	const writeTimeout = 1200 * time.Millisecond
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	f.startEngineWithWriteTimeout("e1", writeTimeout)
	r := f.servingRouter("r1", nil)
	connection, err := net.Dial("tcp", r.address)
	f.g.Expect(err).NotTo(HaveOccurred())
	defer connection.Close()
	_, err = fmt.Fprintf(connection, "POST /once/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n%s: %s\r\n%s: %s\r\n%s: 2500\r\nAuthorization: Bearer %s\r\n\r\n",
		platform.HeaderRequestID, newRequestID(), platform.HeaderModel, modelName, platform.HeaderDeadlineMillis, validKey)
	f.g.Expect(err).NotTo(HaveOccurred())
	time.Sleep(writeTimeout + 300*time.Millisecond)
	// Read the rest of the stream that the runner has closed.
	f.g.Expect(connection.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	_, _ = io.Copy(io.Discard, connection)
	r.waitForLog("request ended")
	runner := r.Status().Runners[0]
	f.g.Expect(runner.State).To(Equal(backend.Serving.String()))
	f.g.Expect(runner.FailureShare).To(BeZero())
}
