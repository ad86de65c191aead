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

func notConfirmed() *Request {
	request := get()
	request.Confirm = func() bool { return false }
	return request
}

func TestRequestThatIsNotConfirmedIsNotWritten(t *testing.T) {
	g := NewWithT(t)
	received := make(chan []byte, 1)
	address, _ := serve(t, func(_ int, reader *bufio.Reader, _ net.Conn) {
		data, _ := io.ReadAll(reader)
		received <- data
	})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := NewPool(time.Second).Send(ctx, address, notConfirmed())
	g.Expect(errors.Is(err, ErrNotSent)).To(BeTrue())
	g.Expect(errors.Is(err, ErrNotConfirmed)).To(BeTrue())
	var data []byte
	g.Eventually(received, 5*time.Second).Should(Receive(&data), "the new connection is closed")
	g.Expect(data).To(BeEmpty())
}

func TestConnectionOfARequestThatIsNotConfirmedIsKept(t *testing.T) {
	g := NewWithT(t)
	address, connections := serve(t, answerWith(whole, whole))
	pool := NewPool(time.Second)
	_, err := readAll(g, pool, address, get())
	g.Expect(err).NotTo(HaveOccurred())
	_, err = pool.Send(context.Background(), address, notConfirmed())
	g.Expect(errors.Is(err, ErrNotConfirmed)).To(BeTrue())
	confirmed := get()
	confirmed.Confirm = func() bool { return true }
	body, err := readAll(g, pool, address, confirmed)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("ok"))
	g.Expect(connections()).To(Equal(1))
}

// What is asked is asked as late as can be: no dial comes after it.
func TestConfirmationIsAskedOnceTheConnectionIsThere(t *testing.T) {
	g := NewWithT(t)
	address, _ := serve(t, answerWith(whole))
	pool := NewPool(time.Second)
	opened := false
	pool.Opened = func() { opened = true }
	request := get()
	request.Confirm = func() bool { return opened }
	body, err := readAll(g, pool, address, request)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("ok"))
}
