package engineapi

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/notrun"
)

// startRepeatingEngine starts an engine that refuses the first attempt on each connection, and sends that refusal again when it has
// got the next one.
func startRepeatingEngine(t *testing.T) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go repeatFirstRefusal(conn)
		}
	}()
	return listener.Addr().String()
}

func repeatFirstRefusal(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var refusal []byte
	for range 2 {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		var body GenerateRequest
		if json.NewDecoder(request.Body).Decode(&body) != nil {
			return
		}
		if refusal == nil {
			refusal, _ = json.Marshal(Refusal{Code: CodeQueueFull, Message: "queue is full", Request: body.Request, Attempt: body.Attempt})
		}
		fmt.Fprintf(conn, "HTTP/1.1 409 Conflict\r\nContent-Length: %d\r\n\r\n%s", len(refusal), refusal)
	}
	_, _ = io.Copy(io.Discard, reader)
}

// Guards against the refusal of an earlier attempt that is taken for a proof that the next one on the connection did not run.
func TestRepeatedRefusalIsNoResponseToTheNextAttempt(t *testing.T) {
	g := NewWithT(t)
	client, address := NewClient(), startRepeatingEngine(t)
	var refused *RefusedError
	_, err := client.Generate(context.Background(), address, &GenerateRequest{Request: "a", Attempt: 1})
	g.Expect(errors.As(err, &refused)).To(BeTrue())
	g.Expect(refused.Proof(notrun.Rejected).Holds()).To(BeTrue())
	_, err = client.Generate(context.Background(), address, &GenerateRequest{Request: "a", Attempt: 2})
	g.Expect(err).To(MatchError(ErrResponseLost), "attempt 2 may be running")
	g.Expect(Unwritten(err).Holds()).To(BeFalse())
	g.Expect(Unwritten(ErrNotConnected).Holds()).To(BeTrue())
}
