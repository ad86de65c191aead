package engineserver

import (
	"net/http"

	"github.com/clovertiller/clovertiller/internal/engineapi"
	"github.com/clovertiller/clovertiller/internal/lab/platformserver"
)

// handleOrder takes a fenced order.
//
// Invariant: the highest token seen never decreases, and an order with a lower
// one changes nothing.
func (s *Server) handleOrder(writer http.ResponseWriter, request *http.Request) {
	var order engineapi.Order
	if !readJSON(writer, request, &order) {
		return
	}
	s.waitWhileFrozen()
	s.mutex.Lock()
	if order.Token < s.token {
		token := s.token
		s.mutex.Unlock()
		writeJSON(writer, http.StatusConflict, engineapi.Refusal{Code: engineapi.CodeStaleToken, Message: "a newer token was seen", Token: token})
		return
	}
	s.token = order.Token
	switch order.Kind {
	case engineapi.OrderLoadWeights:
		if s.state == engineapi.StateServing && (s.model != order.Model || s.version != order.WeightVersion) {
			s.state = engineapi.StateLoading
			go s.loadWeights(order)
		}
	case engineapi.OrderLoadAdapter:
		if !s.hasAdapter(order.Adapter) {
			s.adapters = append(s.adapters, order.Adapter)
		}
	case engineapi.OrderSetRole:
		s.role = order.Role
	}
	s.mutex.Unlock()
	s.publisher.tell()
	writeJSON(writer, http.StatusOK, struct{}{})
}

// loadWeights finishes the running work, reads the weights from the store, and
// starts serving them with an empty cache.
func (s *Server) loadWeights(order engineapi.Order) {
	s.waitIdle()
	if s.settings.Platform != "" {
		response, err := http.Get("http://" + s.settings.Platform + platformserver.PathWeights + order.Source)
		if err != nil {
			s.setState(engineapi.StateServing)
			return
		}
		response.Body.Close()
	}
	s.mutex.Lock()
	s.engine.ClearCache()
	s.model, s.version = order.Model, order.WeightVersion
	if s.state == engineapi.StateLoading {
		s.state = engineapi.StateServing
	}
	s.mutex.Unlock()
	s.publisher.tell()
}

// waitIdle returns when no job is in the engine.
func (s *Server) waitIdle() {
	for {
		s.mutex.Lock()
		var next <-chan struct{}
		for _, entry := range s.streams {
			if !entry.finished && !entry.canceled {
				next = entry.changed
				break
			}
		}
		stopped := s.stopped
		s.mutex.Unlock()
		if next == nil || stopped {
			return
		}
		select {
		case <-next:
		case <-s.done:
			return
		}
	}
}

func (s *Server) setState(state engineapi.State) {
	s.mutex.Lock()
	s.state = state
	s.mutex.Unlock()
	s.publisher.tell()
}
