package engineserver

import (
	"net/http"

	"github.com/clovertiller/clovertiller/internal/engineapi"
	"github.com/clovertiller/clovertiller/internal/lab/platformserver"
)

// handleOrder executes an order that carries a fencing token.
//
// Invariant: fencingToken, the highest token received so far, never decreases, and an order with
// a lower token has no effect.
func (s *Server) handleOrder(writer http.ResponseWriter, request *http.Request) {
	var order engineapi.Order
	if !readJSON(writer, request, &order) {
		return
	}
	s.waitWhileFrozen()
	s.mutex.Lock()
	if order.Token < s.fencingToken {
		token := s.fencingToken
		s.mutex.Unlock()
		writeJSON(writer, http.StatusConflict, engineapi.Refusal{Code: engineapi.CodeStaleToken, Message: "a newer token was seen", Token: token})
		return
	}
	s.fencingToken = order.Token
	switch order.Kind {
	case engineapi.OrderLoadWeights:
		if s.state == engineapi.StateServing && (s.model != order.Model || s.weightVersion != order.WeightVersion) {
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
	s.publisher.publishNow()
	writeJSON(writer, http.StatusOK, struct{}{})
}

// loadWeights waits until the running requests have finished, loads the weights from the weight
// store and then serves them with an empty cache. If the load fails, the engine goes on to serve
// the old weights.
func (s *Server) loadWeights(order engineapi.Order) {
	s.waitUntilIdle()
	if s.settings.PlatformAddress != "" {
		response, err := http.Get("http://" + s.settings.PlatformAddress + platformserver.PathWeights + order.Source)
		if err != nil {
			s.setState(engineapi.StateServing)
			return
		}
		response.Body.Close()
	}
	s.mutex.Lock()
	s.engine.ClearCache()
	s.model, s.weightVersion = order.Model, order.WeightVersion
	if s.state == engineapi.StateLoading {
		s.state = engineapi.StateServing
	}
	s.mutex.Unlock()
	s.publisher.publishNow()
}

// waitUntilIdle returns when all requests in the engine have finished or were canceled, or when
// the engine stops.
func (s *Server) waitUntilIdle() {
	for {
		s.mutex.Lock()
		var streamChanged <-chan struct{}
		for _, stream := range s.streams {
			if !stream.finished && !stream.canceled {
				streamChanged = stream.changed
				break
			}
		}
		stopped := s.stopped
		s.mutex.Unlock()
		if streamChanged == nil || stopped {
			return
		}
		select {
		case <-streamChanged:
		case <-s.done:
			return
		}
	}
}

func (s *Server) setState(state engineapi.State) {
	s.mutex.Lock()
	s.state = state
	s.mutex.Unlock()
	s.publisher.publishNow()
}
