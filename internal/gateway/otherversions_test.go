package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/clovertiller/clovertiller/internal/clock"
	"github.com/clovertiller/clovertiller/internal/quarantine"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// Routers of two versions run side by side while machines are replaced.

// suspectingGateway knows one content under which two runners have ended.
func suspectingGateway() *Gateway {
	g := &Gateway{ports: Ports{Clock: clock.New()}, relays: &relays{}, direct: newDirectSwitch()}
	g.suspects = newSuspects(g)
	g.suspects.learn(oneSuspect(g.now()))
	return g
}

func oneSuspect(now time.Time) []quarantine.Record {
	record := quarantine.Record{Content: quarantine.Content{Tenant: "t", Digest: 7}}
	for i, id := range []string{"a", "b"} {
		at := now.Add(time.Duration(i-5) * time.Second)
		record.Ends = append(record.Ends, quarantine.End{Runner: quarantine.Runner{ID: id, Incarnation: 3}, Began: at.Add(-time.Second), At: at})
	}
	return []quarantine.Record{record}
}

func TestVersionsThatDoNotAskAreToldNoContents(t *testing.T) {
	t.Parallel()
	e, g := NewWithT(t), suspectingGateway()
	e.Expect(g.suspects.answer(&wire.CopyPull{})).To(BeNil())
	pull := &wire.CopyPull{}
	g.suspects.ask("seed", pull)
	told := g.suspects.answer(pull)
	e.Expect(told.GetRecords()).To(HaveLen(1))
	g.suspects.told("seed", told)
	g.suspects.ask("seed", pull)
	e.Expect(g.suspects.answer(pull)).To(BeNil(), "nothing has changed since")
	g.suspects.told("seed of an earlier version", nil)
}

func TestRecordsPassBetweenRouters(t *testing.T) {
	t.Parallel()
	e, now := NewWithT(t), time.Now()
	records := oneSuspect(now)
	records[0].OutlivedAt = now.Add(-30 * time.Second)
	encoded, err := proto.Marshal(suspectNews(now, records))
	e.Expect(err).NotTo(HaveOccurred())
	// A later version tells more.
	encoded = protowire.AppendString(protowire.AppendTag(encoded, 90, protowire.BytesType), "more")
	var news wire.SuspectNews
	e.Expect(proto.Unmarshal(encoded, &news)).To(Succeed())
	read := recordsOf(now, news.GetRecords())
	e.Expect(read).To(HaveLen(1))
	e.Expect(read[0].Content).To(Equal(records[0].Content))
	e.Expect(read[0].OutlivedAt).To(BeTemporally("~", records[0].OutlivedAt, 2*time.Millisecond))
	for i, end := range read[0].Ends {
		e.Expect(end.Runner).To(Equal(records[0].Ends[i].Runner))
		e.Expect(end.At).To(BeTemporally("~", records[0].Ends[i].At, 2*time.Millisecond))
		e.Expect(end.Began).To(BeTemporally("~", records[0].Ends[i].Began, 2*time.Millisecond))
	}
}

// What an earlier version does with the news of contents: it has no such message.
func TestMessagesOfLaterVersionsArePassedOver(t *testing.T) {
	t.Parallel()
	e, g := NewWithT(t), suspectingGateway()
	g.relays.gateway = g
	unknown := protowire.AppendBytes(protowire.AppendTag(nil, 900, protowire.BytesType), []byte{8, 1})
	var envelope wire.Envelope
	e.Expect(proto.Unmarshal(unknown, &envelope)).To(Succeed())
	e.Expect(g.relays.handle(t.Context(), &envelope)).To(BeNil())
}
