package wire

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against routers that take HTTP requests for frames, or frames for HTTP requests, on one address.
func TestFramesAndRequestsShareOneAddress(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	echo := func(_ context.Context, envelope *Envelope) *Envelope {
		return &Envelope{Body: &Envelope_CopyAnswer{CopyAnswer: &CopyAnswer{Zone: envelope.GetCopyPull().GetZone()}}}
	}
	server := NewTransport(Identity{Node: "a"}, listener, echo)
	t.Cleanup(server.Close)
	go http.Serve(server.Unframed(), http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { io.WriteString(writer, "over HTTP") }))
	clientListener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	client := NewTransport(Identity{Node: "b"}, clientListener, echo)
	t.Cleanup(client.Close)
	for range 3 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		reply, err := client.Call(ctx, "", server.Address(), &Envelope{Body: &Envelope_CopyPull{CopyPull: &CopyPull{Zone: "z"}}})
		cancel()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(reply.GetCopyAnswer().GetZone()).To(Equal("z"))
		response, err := http.Get("http://" + server.Address())
		g.Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(body)).To(Equal("over HTTP"))
	}
}
