package wire

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
)

func heartbeat(sequence uint64) *Envelope {
	return &Envelope{From: "a", Body: &Envelope_Heartbeat{Heartbeat: &Heartbeat{Sequence: sequence}}}
}

func startTransport(t *testing.T, handler Handler) *Transport {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	transport := NewTransport(Identity{Node: t.Name(), Incarnation: 1}, listener, handler)
	t.Cleanup(transport.Close)
	return transport
}

func echo(_ context.Context, envelope *Envelope) *Envelope {
	return &Envelope{Body: &Envelope_HeartbeatAck{HeartbeatAck: &Heartbeat{Sequence: envelope.GetHeartbeat().GetSequence()}}}
}

func TestFrameRoundTrip(t *testing.T) {
	g := NewWithT(t)
	buffer, err := AppendFrame(nil, heartbeat(1))
	g.Expect(err).NotTo(HaveOccurred())
	buffer, err = AppendFrame(buffer, heartbeat(2))
	g.Expect(err).NotTo(HaveOccurred())
	reader := bufio.NewReader(bytes.NewReader(buffer))
	for sequence := uint64(1); sequence <= 2; sequence++ {
		envelope, err := ReadFrame(reader)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(proto.Equal(envelope, heartbeat(sequence))).To(BeTrue())
	}
	_, err = ReadFrame(reader)
	g.Expect(err).To(Equal(io.EOF))
}

func TestReadFrameErrors(t *testing.T) {
	frame := func(length uint32, payload ...byte) []byte {
		return append(binary.BigEndian.AppendUint32(nil, length), payload...)
	}
	cases := []struct {
		name  string
		input []byte
		want  error
	}{
		{"length over the limit", frame(MaxFrameBytes + 1), ErrFrameTooLarge},
		{"no version byte", frame(0), ErrFrameEmpty},
		{"unknown version", frame(1, 9), ErrFrameVersion},
		{"not protobuf", frame(3, ProtocolVersion, 0xff, 0xff), ErrFrameMalformed},
		{"no body", frame(1, ProtocolVersion), ErrFrameMalformed},
		{"truncated header", []byte{0, 0}, io.ErrUnexpectedEOF},
		{"truncated payload", frame(100, ProtocolVersion, 1), io.ErrUnexpectedEOF},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := ReadFrame(bufio.NewReader(bytes.NewReader(c.input)))
			NewWithT(t).Expect(errors.Is(err, c.want)).To(BeTrue(), "%v", err)
		})
	}
}

func FuzzReadFrame(f *testing.F) {
	valid, _ := AppendFrame(nil, heartbeat(7))
	f.Add(valid)
	f.Add([]byte{0, 0, 0, 1, ProtocolVersion})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0})
	f.Fuzz(func(t *testing.T, input []byte) {
		reader := bufio.NewReader(bytes.NewReader(input))
		for {
			envelope, err := ReadFrame(reader)
			if err != nil {
				return
			}
			if envelope.GetBody() == nil {
				t.Fatal("an envelope without a body was accepted")
			}
		}
	})
}

func TestConcurrentCallsGetTheirOwnReplies(t *testing.T) {
	g := NewWithT(t)
	server, client := startTransport(t, echo), startTransport(t, echo)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	replies := make(chan error, 50)
	for sequence := range uint64(50) {
		go func() {
			reply, err := client.Call(ctx, "server", server.Address(), heartbeat(sequence))
			if err == nil && reply.GetHeartbeatAck().GetSequence() != sequence {
				err = errors.New("got the reply to another call")
			}
			replies <- err
		}()
	}
	for range 50 {
		g.Expect(<-replies).NotTo(HaveOccurred())
	}
}

func TestMalformedFrameClosesOnlyItsConnection(t *testing.T) {
	g := NewWithT(t)
	server, client := startTransport(t, echo), startTransport(t, echo)
	badConnection, err := net.Dial("tcp", server.Address())
	g.Expect(err).NotTo(HaveOccurred())
	defer badConnection.Close()
	_, err = badConnection.Write([]byte{0xff, 0xff, 0xff, 0xff, 1, 2, 3})
	g.Expect(err).NotTo(HaveOccurred())
	badConnection.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = badConnection.Read(make([]byte, 1))
	var timeout net.Error
	g.Expect(err).To(HaveOccurred())
	g.Expect(errors.As(err, &timeout) && timeout.Timeout()).To(BeFalse(), "the connection stayed open")
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err = client.Call(ctx, "server", server.Address(), heartbeat(1))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(server.Counters().MalformedFrames.Load()).To(Equal(uint64(1)))
}

func TestUnresponsivePeerDoesNotBlockSenders(t *testing.T) {
	g := NewWithT(t)
	client := startTransport(t, echo)
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer unresponsive.Close()
	largeMessage := &Envelope{Body: &Envelope_ConfigDelta{ConfigDelta: &ConfigDelta{Objects: []*ConfigObject{{Spec: make([]byte, 64<<10)}}}}}
	full := false
	for range 20 * maxQueuedFrames {
		if errors.Is(client.Send("silent", unresponsive.Addr().String(), largeMessage), ErrQueueFull) {
			full = true
			break
		}
	}
	g.Expect(full).To(BeTrue(), "the queue is unbounded")
}

func TestPartitionBlocksBothDirections(t *testing.T) {
	g := NewWithT(t)
	server, client := startTransport(t, echo), startTransport(t, echo)
	client.SetPartitioned([]string{"server"})
	g.Expect(client.Send("server", server.Address(), heartbeat(1))).To(MatchError(ErrPartitioned))
	client.SetPartitioned(nil)
	server.SetPartitioned([]string{t.Name()})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := client.Call(ctx, "server", server.Address(), heartbeat(1))
	g.Expect(err).To(MatchError(ErrNoReply))
}
