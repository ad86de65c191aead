package httpconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// newUnconfirmedRequest returns a request whose Confirm returns false.
func newUnconfirmedRequest() *Request {
	request := newGetRequest()
	request.Confirm = func() bool { return false }
	return request
}

func TestUnconfirmedRequestIsNotWritten(t *testing.T) {
	g := NewWithT(t)
	received := make(chan []byte, 1)
	address, _ := startServer(t, func(_ int, reader *bufio.Reader, _ net.Conn) {
		data, _ := io.ReadAll(reader)
		received <- data
	})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := NewPool(time.Second).Send(ctx, address, newUnconfirmedRequest())
	g.Expect(errors.Is(err, ErrNotSent)).To(BeTrue())
	g.Expect(errors.Is(err, ErrNotConfirmed)).To(BeTrue())
	var data []byte
	g.Eventually(received, 5*time.Second).Should(Receive(&data), "the new connection must be closed")
	g.Expect(data).To(BeEmpty())
}

func TestReusedConnectionOfUnconfirmedRequestIsKept(t *testing.T) {
	g := NewWithT(t)
	address, connections := startServer(t, respondWith(okResponse, okResponse))
	pool := NewPool(time.Second)
	_, err := sendAndRead(g, pool, address, newGetRequest())
	g.Expect(err).NotTo(HaveOccurred())
	_, err = pool.Send(context.Background(), address, newUnconfirmedRequest())
	g.Expect(errors.Is(err, ErrNotConfirmed)).To(BeTrue())
	confirmed := newGetRequest()
	confirmed.Confirm = func() bool { return true }
	body, err := sendAndRead(g, pool, address, confirmed)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("ok"))
	g.Expect(connections()).To(Equal(1))
}

// Guards against a confirmation that is outdated when the request is written: Confirm
// must be called after the connection was opened, which may take long.
func TestConfirmIsCalledAfterDial(t *testing.T) {
	g := NewWithT(t)
	address, _ := startServer(t, respondWith(okResponse))
	pool := NewPool(time.Second)
	opened := false
	pool.OnOpen = func() { opened = true }
	request := newGetRequest()
	request.Confirm = func() bool { return opened }
	body, err := sendAndRead(g, pool, address, request)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("ok"))
}
