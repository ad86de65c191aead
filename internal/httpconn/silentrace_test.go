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

// Idle connections that are closed as silent are nobody's: requests on sound ones are
// answered, however often and from wherever that happens.
func TestClosingSilentConnectionsCostsNoRequest(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		time.Sleep(rand.N(4 * time.Millisecond))
		writer.Write([]byte("well"))
	}))
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	pool := httpconn.NewPool(time.Second)
	pool.SilentAfter = time.Millisecond
	var opened, silent, failed atomic.Int64
	pool.Opened, pool.Silent = func() { opened.Add(1) }, func() { silent.Add(1) }
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		for ctx.Err() == nil {
			pool.CloseIdleSince(time.Now().Add(-2 * time.Millisecond))
			time.Sleep(time.Millisecond)
		}
	}()
	var callers sync.WaitGroup
	for range 12 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for range 400 {
				response, err := pool.Send(ctx, address, &httpconn.Request{Method: http.MethodGet, Target: "/", Host: address})
				if err != nil {
					failed.Add(1)
					continue
				}
				if _, _, err := response.Body.ReadAll(100); err != nil {
					failed.Add(1)
				}
				response.Body.Close()
				time.Sleep(rand.N(3 * time.Millisecond))
			}
		}()
	}
	callers.Wait()
	t.Logf("opened %d, silent %d, failed %d", opened.Load(), silent.Load(), failed.Load())
	g.Expect(failed.Load()).To(BeZero())
}
