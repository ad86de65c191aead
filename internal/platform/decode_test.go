package platform

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	v1 "github.com/clovertiller/clovertiller/api/v1"
)

// Guards against one object that ends the following of all others: the list and each watch could not be decoded any more.
func TestUnreadableObjectDoesNotHideOthers(t *testing.T) {
	deep := strings.Repeat("[", 10_001) + strings.Repeat("]", 10_001)
	for name, odd := range map[string]string{
		"deep spec": `{"kind":"Runner","name":"odd","version":4,"spec":` + deep + `}`, "control characters": "{\"kind\":\"Runner\",\"name\":\"odd\",\"version\":4,\"spec\":\"\x00\"}",
		"status of another type": `{"kind":"Runner","name":"odd","version":4,"spec":{},"status":7}`,
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			objects := `[{"kind":"Runner","name":"a","version":3,"spec":{}},` + odd + `,{"kind":"Runner","name":"b","version":5,"spec":{}}]`
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
				if request.URL.Path == PathWatch {
					fmt.Fprintf(writer, "{\"revision\":3}\n{\"revision\":5,\"objects\":%s}\n{\"revision\":6,\"objects\":[", objects)
					return
				}
				fmt.Fprintf(writer, "{\"revision\":5,\"items\":%s}\n", objects)
			}))
			defer server.Close()
			client := NewClient(strings.TrimPrefix(server.URL, "http://"))
			list, err := client.List(t.Context())
			g.Expect(err).NotTo(HaveOccurred())
			expectOddBetweenSound(g, list.Revision, list.Items)
			var batches []WatchBatch
			g.Expect(client.Watch(t.Context(), 2, func(batch WatchBatch) { batches = append(batches, batch) })).To(MatchError(ErrUnavailable))
			g.Expect(batches).To(HaveLen(2), "a message that was cut is none")
			g.Expect(batches[0]).To(Equal(WatchBatch{Revision: 3}))
			expectOddBetweenSound(g, batches[1].Revision, batches[1].Objects)
		})
	}
}

func expectOddBetweenSound(g *WithT, revision uint64, objects []v1.Object) {
	g.Expect(revision).To(Equal(uint64(5)))
	g.Expect(objects).To(HaveLen(3))
	g.Expect(objects[0]).To(Equal(v1.Object{Kind: v1.KindRunner, Name: "a", Version: 3, Spec: []byte("{}")}))
	g.Expect(objects[2]).To(Equal(v1.Object{Kind: v1.KindRunner, Name: "b", Version: 5, Spec: []byte("{}")}))
	g.Expect(objects[1].Fault).NotTo(BeEmpty())
	objects[1].Fault = ""
	g.Expect(objects[1]).To(Equal(v1.Object{Kind: v1.KindRunner, Name: "odd", Version: 4}))
}
