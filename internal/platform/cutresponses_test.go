package platform

import (
	"context"
	"errors"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/lab/cutserver"
)

// Guards against lists, objects, changes and refused writes of the platform that are taken for whole although their response stopped at any
// byte.
func TestResponseThatStopsAtAnyByteIsNotWhole(t *testing.T) {
	t.Parallel()
	g, ctx := NewWithT(t), context.Background()
	server := cutserver.Start(t)
	client := NewClient(server.Address)
	for name, test := range map[string]struct {
		status, body string
		call         func() (whole bool)
	}{
		"list": {"200 OK", `{"revision":7,"items":[{"name":"a","version":3}]}`, func() bool {
			list, err := client.List(ctx)
			g.Expect(err != nil || list.Revision == 7 && len(list.Items) == 1).To(BeTrue())
			return err == nil
		}},
		"write": {"201 Created", `{"name":"a","version":3}`, func() bool {
			object, err := client.Put(ctx, v1.Object{Name: "a"})
			g.Expect(err == nil && object.Version == 3 || errors.Is(err, ErrUnavailable)).To(BeTrue())
			return err == nil
		}},
		"watch": {"200 OK", `{"revision":7,"objects":[{"name":"a","version":3}]}` + "\n", func() (whole bool) {
			_ = client.Watch(ctx, 1, func(batch WatchBatch) {
				g.Expect(batch.Revision == 7 && len(batch.Objects) == 1).To(BeTrue())
				whole = true
			})
			return whole
		}},
	} {
		for _, framing := range []struct{ fields, body, end string }{
			{fmt.Sprintf("Content-Length: %d\r\n", len(test.body)), test.body, ""}, {"Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s", len(test.body), test.body), "\r\n0\r\n\r\n"},
		} {
			text := "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 " + test.status + "\r\nConnection: close\r\n" + framing.fields + "\r\n" + framing.body
			wholeFrom := len(text)
			if name != "watch" {
				wholeFrom = len(text + framing.end)
			}
			// A message of a watch is whole with its line, before the end of its chunk.
			for n := 1; n <= len(text+framing.end); n++ {
				server.Set((text + framing.end)[:n], false)
				g.Expect(test.call()).To(Equal(n >= wholeFrom), "%s, %d of %d bytes", name, n, wholeFrom)
			}
		}
	}
}
