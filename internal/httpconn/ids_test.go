package httpconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/notrun"
)

// newRequestWithID returns a request to which only responses with the ID belong.
func newRequestWithID(id string) *Request {
	request := newGetRequest()
	request.ID = id
	request.Header.Set("Id", id)
	request.MatchesResponse = func(header http.Header) bool { return header.Get("Id") == id }
	return request
}

// echoIDs responds to each request with its ID.
func echoIDs(_ int, reader *bufio.Reader, conn net.Conn) {
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\nKeep-Alive: timeout=9\r\n\r\nok", request.Header.Get("Id"))
	}
}

// Guards against a response that may be the late one to an earlier request with the same ID.
func TestConnectionCarriesEachIDOnce(t *testing.T) {
	g := NewWithT(t)
	address, connections := startServer(t, echoIDs)
	pool := NewPool(time.Second)
	var kept []bool
	for _, id := range []string{"a", "b", "a", "b", "c"} {
		request := newRequestWithID(id)
		request.OnConnection = func(c Connection) { kept = append(kept, c.Kept) }
		_, err := sendAndRead(g, pool, address, request)
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(kept).To(Equal([]bool{false, true, false, true, true}))
	g.Expect(connections()).To(Equal(2))
	request := newRequestWithID("a")
	request.ReuseOnly = true
	_, err := pool.Send(context.Background(), address, request)
	g.Expect(Unwritten(err).Kind()).To(Equal(notrun.Unwritten))
}

// Guards against IDs that a connection keeps without a bound.
func TestConnectionsAreReplacedAfterTheirLastRequest(t *testing.T) {
	g := NewWithT(t)
	address, connections := startServer(t, echoIDs)
	pool := NewPool(time.Second)
	for i := range maxRequestsPerConnection + 1 {
		_, err := sendAndRead(g, pool, address, newRequestWithID(fmt.Sprint(i)))
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(connections()).To(Equal(2))
}

// Guards against rejections that are taken for proofs although they may be responses to earlier requests.
func TestRejectionOfUnidentifiedRequestOnKeptConnectionProvesNothing(t *testing.T) {
	g := NewWithT(t)
	address, _ := startServer(t, echoIDs)
	pool := NewPool(time.Second)
	holds := func(request *Request) bool {
		response, err := pool.Send(context.Background(), address, request)
		g.Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		_, err = io.ReadAll(response.Body)
		g.Expect(err).NotTo(HaveOccurred())
		return response.Rejection(notrun.Rejected).Holds()
	}
	g.Expect(holds(newGetRequest())).To(BeTrue(), "the only request of its connection")
	g.Expect(holds(newGetRequest())).To(BeFalse(), "any response is accepted")
	g.Expect(holds(newRequestWithID(""))).To(BeFalse(), "other requests without an ID")
	g.Expect(holds(newRequestWithID("a"))).To(BeTrue())
}

// Guards against errors after a write that are taken for a proof.
func TestErrorAfterWriteProvesNothing(t *testing.T) {
	g := NewWithT(t)
	address, _ := startServer(t, func(_ int, reader *bufio.Reader, conn net.Conn) {
		_, _ = http.ReadRequest(reader)
		conn.Close()
	})
	_, err := NewPool(time.Second).Send(context.Background(), address, newRequestWithID("a"))
	g.Expect(err).To(HaveOccurred())
	g.Expect(Unwritten(err).Holds()).To(BeFalse())
	g.Expect(Unwritten(errors.New("any other")).Holds()).To(BeFalse())
}
