package httpconn_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/httpconn"
)

// Guards against closing a connection that a request is using: requests must succeed
// while idle connections are closed all the time, both by CloseIdleSince and by the
// SilenceTimeout.
func TestClosingIdleConnectionsFailsNoRequest(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		time.Sleep(rand.N(4 * time.Millisecond))
		writer.Write([]byte("well"))
	}))
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	pool := httpconn.NewPool(time.Second)
	pool.SilenceTimeout = time.Millisecond
	var opened, closed, failed atomic.Int64
	pool.OnOpen, pool.OnSilentClosed = func() { opened.Add(1) }, func() { closed.Add(1) }
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		for ctx.Err() == nil {
			pool.CloseIdleSince(time.Now().Add(-2 * time.Millisecond))
			time.Sleep(time.Millisecond)
		}
	}()
	var clients sync.WaitGroup
	for range 12 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for range 400 {
				response, err := pool.Send(ctx, address, &httpconn.Request{Method: http.MethodGet, Target: "/", Host: address})
				if err != nil {
					failed.Add(1)
					continue
				}
				if _, end := response.Body.ReadAll(100); !end.IsComplete() {
					failed.Add(1)
				}
				response.Body.Close()
				time.Sleep(rand.N(3 * time.Millisecond))
			}
		}()
	}
	clients.Wait()
	t.Logf("%d connections opened, %d closed as silent, %d requests failed", opened.Load(), closed.Load(), failed.Load())
	g.Expect(failed.Load()).To(BeZero())
}
