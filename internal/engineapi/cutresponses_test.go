package engineapi

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/lab/cutserver"
)

// Guards against lists, events, refusals and confirmations of an engine that are taken for whole although their response stopped at any byte.
func TestEngineResponseThatStopsAtAnyByteIsNotWhole(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	ctx, client := context.Background(), NewClient()
	const blocks, refusal, event = `{"incarnation":12,"sequence":34,"blocks":[{"hash":5}]}`, `{"code":"queue_full","request":"r","attempt":1}`, `{"sequence":1,"incarnation":2}`
	frame := `{"x":1}`
	for name, test := range map[string]struct {
		response string
		// call returns whether the client took the response for whole. It must not before wholeAt bytes.
		call    func(address string) bool
		wholeAt func(response string) int
	}{
		"list": {
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(blocks), blocks),
			func(address string) bool {
				list, err := client.Blocks(ctx, address)
				g.Expect(err != nil || list.Sequence == 34 && len(list.Blocks) == 1).To(BeTrue())
				return err == nil
			}, func(response string) int { return len(response) - len("\r\n0\r\n\r\n") },
		},
		"refusal": {
			fmt.Sprintf("HTTP/1.1 409 Conflict\r\nContent-Length: %d\r\n\r\n%s", len(refusal), refusal),
			func(address string) bool {
				_, err := client.Generate(ctx, address, &GenerateRequest{Request: "r", Attempt: 1})
				var refused *RefusedError
				g.Expect(Unwritten(err).Holds()).To(BeFalse())
				return errors.As(err, &refused)
			}, func(response string) int { return len(response) },
		},
		"confirmation": {
			"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
			func(address string) bool { return client.Cancel(ctx, address, &CancelRequest{}) == nil },
			func(response string) int { return len(response) },
		},
		"event": {
			"HTTP/1.1 200 OK\r\n\r\n" + event + "\n",
			func(address string) (whole bool) {
				_ = client.Events(ctx, address, time.Second, func(*CacheEvent) { whole = true })
				return whole
			}, func(response string) int { return len(response) - 1 },
		},
		"stream": {
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(frameOf(frame)), frameOf(frame)),
			func(address string) bool {
				stream, err := client.Generate(ctx, address, &GenerateRequest{Request: "r", Attempt: 1})
				if err != nil {
					return false
				}
				defer stream.Close()
				return stream.Frames.Next(&Frame{}) == nil
			}, func(response string) int { return len(response) - len("\r\n0\r\n\r\n") },
		},
	} {
		engine := cutserver.Start(t)
		for n := range len(test.response) + 1 {
			engine.Set(test.response[:n], false)
			g.Expect(test.call(engine.Address)).To(Equal(n >= test.wholeAt(test.response)), "%s, %d of %d bytes", name, n, len(test.response))
		}
	}
}

// frameOf returns the frame of an attempt that ends with the data.
func frameOf(data string) string {
	return string(AppendFrame(nil, EventEnd, "r", 1, 0, 0, []byte(data)))
}

// Guards against an error of an engine whose body is taken for an empty list of blocks or for a cache event.
func TestErrorOfAnEngineIsNoListAndNoEvent(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	const response = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 19\r\n\r\n{\"code\":\"draining\"}"
	engine := cutserver.Start(t)
	engine.Set(response, false)
	_, err := NewClient().Blocks(context.Background(), engine.Address)
	g.Expect(err).To(HaveOccurred())
	err = NewClient().Events(context.Background(), engine.Address, time.Second, func(event *CacheEvent) { t.Errorf("event %+v", event) })
	g.Expect(err).To(HaveOccurred())
}
