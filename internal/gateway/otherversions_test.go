package gateway

import (
	"io"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/backpressure"
	"github.com/clovertiller/clovertiller/internal/clock"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/quarantine"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// Routers of two versions run side by side while machines are replaced.

// suspectingGateway knows one content under which two runners have ended.
func suspectingGateway() *Gateway {
	g := &Gateway{ports: Ports{Clock: clock.New()}, relays: &relays{}, directReads: newDirectSwitch()}
	g.suspects = newSuspects(g)
	g.suspects.learn(oneSuspect(g.now()))
	return g
}

func oneSuspect(now time.Time) []quarantine.Record {
	record := quarantine.Record{Content: quarantine.ContentID{Tenant: "t", Digest: 7}}
	for i, id := range []string{"a", "b"} {
		at := now.Add(time.Duration(i-5) * time.Second)
		record.Crashes = append(record.Crashes, quarantine.Crash{Runner: quarantine.Runner{ID: id, Incarnation: 3}, SentAt: at.Add(-time.Second), DetectedAt: at})
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
	records[0].SurvivedAt = now.Add(-30 * time.Second)
	encoded, err := proto.Marshal(suspectNews(now, records))
	e.Expect(err).NotTo(HaveOccurred())
	// A later version tells more.
	encoded = protowire.AppendString(protowire.AppendTag(encoded, 90, protowire.BytesType), "more")
	var news wire.SuspectNews
	e.Expect(proto.Unmarshal(encoded, &news)).To(Succeed())
	read := recordsOf(now, news.GetRecords())
	e.Expect(read).To(HaveLen(1))
	e.Expect(read[0].Content).To(Equal(records[0].Content))
	e.Expect(read[0].SurvivedAt).To(BeTemporally("~", records[0].SurvivedAt, 2*time.Millisecond))
	for i, end := range read[0].Crashes {
		e.Expect(end.Runner).To(Equal(records[0].Crashes[i].Runner))
		e.Expect(end.DetectedAt).To(BeTemporally("~", records[0].Crashes[i].DetectedAt, 2*time.Millisecond))
		e.Expect(end.SentAt).To(BeTemporally("~", records[0].Crashes[i].SentAt, 2*time.Millisecond))
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

// signallingGateway knows one runner that leaves and has named a limit.
func signallingGateway() *Gateway {
	g := &Gateway{ports: Ports{Clock: clock.New()}, relays: &relays{}, directReads: newDirectSwitch(), runners: backend.NewSet("z"), log: events.NewLogger(io.Discard, "r", logrus.InfoLevel)}
	g.signals = newSignals(g)
	g.signals.learn(signalMessages(g.now(), oneSignal(g.now())))
	return g
}

func oneSignal(now time.Time) []backpressure.Record {
	return []backpressure.Record{{
		Runner: backpressure.Runner{ID: "a", Incarnation: 3}, LeavingAt: now.Add(-time.Second),
		Rate: 1.5, LimitReportedAt: now.Add(-3 * time.Second), LimitLiftedAt: now.Add(-5 * time.Second),
	}}
}

func TestVersionsThatDoNotAskAreToldNoSignals(t *testing.T) {
	t.Parallel()
	e, g := NewWithT(t), signallingGateway()
	e.Expect(g.signals.answer(&wire.CopyPull{})).To(BeNil())
	pull := &wire.CopyPull{}
	g.signals.ask("seed", pull)
	told := g.signals.answer(pull)
	e.Expect(told.GetSignals()).To(HaveLen(1))
	g.signals.told("seed", told)
	g.signals.ask("seed", pull)
	e.Expect(g.signals.answer(pull)).To(BeNil(), "nothing has changed since")
	g.signals.told("seed of an earlier version", nil)
}

func TestSignalsPassBetweenRouters(t *testing.T) {
	t.Parallel()
	e, now := NewWithT(t), time.Now()
	records := oneSignal(now)
	encoded, err := proto.Marshal(&wire.SignalNews{Signals: signalMessages(now, records)})
	e.Expect(err).NotTo(HaveOccurred())
	// A later version tells more.
	encoded = protowire.AppendString(protowire.AppendTag(encoded, 90, protowire.BytesType), "more")
	var news wire.SignalNews
	e.Expect(proto.Unmarshal(encoded, &news)).To(Succeed())
	read := signalsOf(now, news.GetSignals())
	e.Expect(read).To(HaveLen(1))
	e.Expect(read[0].Runner).To(Equal(records[0].Runner))
	e.Expect(read[0].Rate).To(Equal(1.5))
	e.Expect(read[0].Limited()).To(BeTrue())
	e.Expect(read[0].LeavingAt).To(BeTemporally("~", records[0].LeavingAt, 2*time.Millisecond))
	e.Expect(read[0].LimitReportedAt).To(BeTemporally("~", records[0].LimitReportedAt, 2*time.Millisecond))
	e.Expect(read[0].LimitLiftedAt).To(BeTemporally("~", records[0].LimitLiftedAt, 2*time.Millisecond))
}

// Rates that make no sense come from routers that are wrong, and are harmless here.
func TestRatesOfOtherRoutersAreChecked(t *testing.T) {
	t.Parallel()
	for _, rate := range []float64{math.NaN(), math.Inf(1), -1} {
		read := signalsOf(time.Now(), []*wire.RunnerSignal{{Runner: "a", Named: true, Rate: rate}})
		NewWithT(t).Expect(read[0].Limited()).To(BeFalse())
	}
}

// An earlier version's scheduler answers without a permit: its choice of a limited runner is
// not taken by a router that knows of the limit.
func TestChoicesOfEarlierVersionsGrantNothing(t *testing.T) {
	t.Parallel()
	e := NewWithT(t)
	e.Expect((&placed{asked: time.Now()}).permit().Valid(time.Now())).To(BeFalse())
	e.Expect((&placed{asked: time.Now(), permitted: true}).permit().Valid(time.Now())).To(BeTrue())
}
