package runnerstand

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Surplus makes a runner send some responses to calls a second time. The second response has the ID of the same call and
// belongs to no request.
type Surplus struct {
	// Share is the share of responses that are sent twice.
	Share float64
	// MaxDelay bounds how long the connection is idle before the second response is sent. It is always sent before the response
	// to the next request on the connection. If MaxDelay is 0, it waits for that request.
	MaxDelay time.Duration
}

// SetSurplus sets which later responses are sent twice. The zero value sends none twice.
func (r *Runner) SetSurplus(surplus Surplus) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.surplus = surplus
}

// SurplusCount returns the number of responses that were sent a second time.
func (r *Runner) SurplusCount() int { return int(r.surplusCount.Load()) }

// connectionKey is the context key of a call's connection.
type connectionKey struct{}

// withConnection returns a context that holds the connection.
func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// prepareSurplus makes the connection of the call send a response with the status and the header of the writer once more after
// the current one, if it belongs to the share that Surplus selects.
func (r *Runner) prepareSurplus(request *http.Request, writer http.ResponseWriter, status int) {
	r.mutex.Lock()
	surplus := r.surplus
	r.mutex.Unlock()
	tracked, isTracked := request.Context().Value(connectionKey{}).(*trackedConn)
	if !isTracked || surplus.Share == 0 || rand.Float64() >= surplus.Share {
		return
	}
	const body = "surplus\n"
	header := writer.Header().Clone()
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Del("Transfer-Encoding")
	var response bytes.Buffer
	fmt.Fprintf(&response, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = header.Write(&response)
	response.WriteString("\r\n" + body)
	tracked.surplus.prepare(response.Bytes(), surplus.MaxDelay, func() { r.surplusCount.Add(1) })
}

// armSurplus is the http.Server's ConnState hook.
func armSurplus(conn net.Conn, state http.ConnState) {
	if tracked, isTracked := conn.(*trackedConn); isTracked && state == http.StateIdle {
		tracked.surplus.arm(tracked.Conn)
	}
}

// surplusResponse is the response that a connection sends once more.
type surplusResponse struct {
	mutex    sync.Mutex
	data     []byte
	maxDelay time.Duration
	onSend   func()
	// armed is set once the response to the call is complete.
	armed bool
}

func (s *surplusResponse) prepare(data []byte, maxDelay time.Duration, onSend func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.data, s.maxDelay, s.onSend, s.armed = data, maxDelay, onSend, false
}

// arm allows sending the response, as the connection has become idle.
func (s *surplusResponse) arm(conn net.Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.data == nil {
		return
	}
	s.armed = true
	if s.maxDelay > 0 {
		time.AfterFunc(rand.N(s.maxDelay), func() { s.send(conn) })
	}
}

// send sends the response unless it has been sent.
func (s *surplusResponse) send(conn net.Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.armed {
		return
	}
	s.onSend()
	_, _ = conn.Write(s.data)
	s.data, s.armed = nil, false
}
