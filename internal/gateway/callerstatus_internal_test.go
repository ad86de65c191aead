package gateway

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/attempt"
)

// Guards against statuses from which callers infer that their call has not run although nothing proves it.
func TestStatusThatPromisesNeedsPromise(t *testing.T) {
	g := NewWithT(t)
	notSent := (&attempt.Request{}).Promise()
	for _, code := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		g.Expect(unpromisedStatus(code).code).To(Equal(http.StatusBadGateway))
		g.Expect(promisedStatus(code, attempt.Promise{}).code).To(Equal(http.StatusBadGateway))
		g.Expect(promisedStatus(code, notSent).code).To(Equal(code))
	}
	for _, code := range []int{http.StatusOK, http.StatusNotFound, http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout} {
		g.Expect(unpromisedStatus(code).code).To(Equal(code))
	}
}
