package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// maxDrainIdle is how long a connection may be open during a drain before its first request.
	maxDrainIdle = time.Second
	// drainInterval is how often a drain looks for idle connections.
	drainInterval = 20 * time.Millisecond
)

// callServer serves calls over HTTP. In contrast to http.Server.Shutdown, which drops the requests that are read after
// it was called, drain serves each request that is read.
type callServer struct {
	*http.Server
	gateway  *Gateway
	listener net.Listener

	mutex       sync.Mutex
	connections map[net.Conn]*connectionState
}

// connectionState is the state of a connection to a callServer.
type connectionState struct {
	state http.ConnState
	since time.Time
	// isExpired is set once a read deadline in the past ends the wait for a request.
	isExpired bool
}

// isReceiving reports whether bytes of a request have arrived on the connection.
func isReceiving(connection net.Conn) bool {
	c, isKnown := connection.(*receivingConn)
	return isKnown && c.isReceiving.Load()
}

// newCallServer returns a server of calls. Its errors are logged with the name.
func (g *Gateway) newCallServer(name string, handler http.Handler) *callServer {
	s := &callServer{gateway: g, connections: map[net.Conn]*connectionState{}}
	s.Server = &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		DisableGeneralOptionsHandler: true, ConnContext: withConnection, ErrorLog: g.serverErrorLog(name), ConnState: s.trackState,
	}
	return s
}

// serve serves the connections of the listener until the server is drained or closed.
func (s *callServer) serve(listener net.Listener) {
	s.listener = listener
	go s.Serve(receivingListener{listener, s.gateway.memory})
}

// trackState is called when a connection changes its state.
func (s *callServer) trackState(connection net.Conn, state http.ConnState) {
	if c, isKnown := connection.(*receivingConn); isKnown {
		c.setState(state)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before := s.connections[connection]
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(s.connections, connection)
		return
	case http.StateActive:
		if before != nil && before.isExpired {
			// The request was read before the deadline took effect.
			_ = connection.SetReadDeadline(time.Time{})
		}
	}
	s.connections[connection] = &connectionState{state: state, since: time.Now()}
}

// expireIdle ends the connections without a request, those that are new only if they have waited for minAge. It returns
// the number of open connections. A connection is not closed but its next read fails, so a request is either served or
// not read at all.
func (s *callServer) expireIdle(minAge time.Duration) (open int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	for connection, state := range s.connections {
		isIdle := state.state == http.StateIdle || state.state == http.StateNew && now.Sub(state.since) >= minAge
		if isIdle && !isReceiving(connection) {
			state.isExpired = true
			_ = connection.SetReadDeadline(now)
		}
	}
	return len(s.connections)
}

// drain accepts no more connections and waits until all requests are served and all connections closed, or until the
// context ends. Once ending is done, new connections are not waited for.
func (s *callServer) drain(ctx, ending context.Context) error {
	closeErr := s.listener.Close()
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		minAge := maxDrainIdle
		if ending.Err() != nil {
			minAge = 0
		}
		if s.expireIdle(minAge) == 0 {
			return closeErr
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Join(closeErr, ctx.Err())
		}
	}
}
