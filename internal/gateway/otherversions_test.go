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

// Routers of two versions run side by side during an upgrade.

// newGatewayWithSuspect returns a gateway that knows one content that was running when two runners
// crashed.
func newGatewayWithSuspect() *Gateway {
	g := &Gateway{ports: Ports{Clock: clock.New()}, peerRouters: &peerRouters{}, directReads: newDirectMode()}
	g.suspects = newSuspects(g)
	g.suspects.merge(suspectRecords(g.now()))
	return g
}

func suspectRecords(now time.Time) []quarantine.Record {
	record := quarantine.Record{Subject: quarantine.Subject{Tenant: "t", Digest: 7}}
	for i, id := range []string{"a", "b"} {
		at := now.Add(time.Duration(i-5) * time.Second)
		record.Crashes = append(record.Crashes, quarantine.Crash{Runner: quarantine.Runner{ID: id, Incarnation: 3}, SentAt: at.Add(-time.Second), DetectedAt: at})
	}
	return []quarantine.Record{record}
}

func TestSuspectsAreSentOnlyOnRequest(t *testing.T) {
	t.Parallel()
	e, g := NewWithT(t), newGatewayWithSuspect()
	e.Expect(g.suspects.answerPull(&wire.CopyPull{})).To(BeNil())
	pull := &wire.CopyPull{}
	g.suspects.addPullPosition("seed", pull)
	reply := g.suspects.answerPull(pull)
	e.Expect(reply.GetRecords()).To(HaveLen(1))
	g.suspects.applyPull("seed", reply)
	g.suspects.addPullPosition("seed", pull)
	e.Expect(g.suspects.answerPull(pull)).To(BeNil(), "nothing has changed since the last answer")
	g.suspects.applyPull("seed of an earlier version", nil)
}

func TestSuspectRecordsSurviveEncoding(t *testing.T) {
	t.Parallel()
	e, now := NewWithT(t), time.Now()
	records := suspectRecords(now)
	records[0].SurvivedAt = now.Add(-30 * time.Second)
	encoded, err := proto.Marshal(encodeSuspectNews(now, records))
	e.Expect(err).NotTo(HaveOccurred())
	// Simulate a later version that adds a field.
	encoded = protowire.AppendString(protowire.AppendTag(encoded, 90, protowire.BytesType), "more")
	var message wire.SuspectNews
	e.Expect(proto.Unmarshal(encoded, &message)).To(Succeed())
	decoded := decodeSuspects(now, message.GetRecords())
	e.Expect(decoded).To(HaveLen(1))
	e.Expect(decoded[0].Subject).To(Equal(records[0].Subject))
	e.Expect(decoded[0].SurvivedAt).To(BeTemporally("~", records[0].SurvivedAt, 2*time.Millisecond))
	for i, crash := range decoded[0].Crashes {
		e.Expect(crash.Runner).To(Equal(records[0].Crashes[i].Runner))
		e.Expect(crash.DetectedAt).To(BeTemporally("~", records[0].Crashes[i].DetectedAt, 2*time.Millisecond))
		e.Expect(crash.SentAt).To(BeTemporally("~", records[0].Crashes[i].SentAt, 2*time.Millisecond))
	}
}

// An earlier version must ignore messages that it does not know, such as those on suspects.
func TestUnknownMessagesAreIgnored(t *testing.T) {
	t.Parallel()
	e, g := NewWithT(t), newGatewayWithSuspect()
	g.peerRouters.gateway = g
	unknown := protowire.AppendBytes(protowire.AppendTag(nil, 900, protowire.BytesType), []byte{8, 1})
	var envelope wire.Envelope
	e.Expect(proto.Unmarshal(unknown, &envelope)).To(Succeed())
	e.Expect(g.peerRouters.handle(t.Context(), &envelope)).To(BeNil())
}

// newGatewayWithSignal returns a gateway that knows one runner that is leaving and has reported
// a request limit.
func newGatewayWithSignal() *Gateway {
	g := &Gateway{ports: Ports{Clock: clock.New()}, peerRouters: &peerRouters{}, directReads: newDirectMode(), runners: backend.NewSet("z"), log: events.NewLogger(io.Discard, "r", logrus.InfoLevel)}
	g.signals = newSignals(g)
	g.signals.merge(encodeSignals(g.now(), signalRecords(g.now())))
	return g
}

func signalRecords(now time.Time) []backpressure.Record {
	return []backpressure.Record{{
		Runner: backpressure.Runner{ID: "a", Incarnation: 3}, LeavingAt: now.Add(-time.Second),
		Rate: 1.5, LimitReportedAt: now.Add(-3 * time.Second), LimitLiftedAt: now.Add(-5 * time.Second),
	}}
}

func TestSignalsAreSentOnlyOnRequest(t *testing.T) {
	t.Parallel()
	e, g := NewWithT(t), newGatewayWithSignal()
	e.Expect(g.signals.answerPull(&wire.CopyPull{})).To(BeNil())
	pull := &wire.CopyPull{}
	g.signals.addPullPosition("seed", pull)
	reply := g.signals.answerPull(pull)
	e.Expect(reply.GetSignals()).To(HaveLen(1))
	g.signals.applyPull("seed", reply)
	g.signals.addPullPosition("seed", pull)
	e.Expect(g.signals.answerPull(pull)).To(BeNil(), "nothing has changed since the last answer")
	g.signals.applyPull("seed of an earlier version", nil)
}

func TestSignalsSurviveEncoding(t *testing.T) {
	t.Parallel()
	e, now := NewWithT(t), time.Now()
	records := signalRecords(now)
	encoded, err := proto.Marshal(&wire.SignalNews{Signals: encodeSignals(now, records)})
	e.Expect(err).NotTo(HaveOccurred())
	// Simulate a later version that adds a field.
	encoded = protowire.AppendString(protowire.AppendTag(encoded, 90, protowire.BytesType), "more")
	var message wire.SignalNews
	e.Expect(proto.Unmarshal(encoded, &message)).To(Succeed())
	decoded := decodeSignals(now, message.GetSignals())
	e.Expect(decoded).To(HaveLen(1))
	e.Expect(decoded[0].Runner).To(Equal(records[0].Runner))
	e.Expect(decoded[0].Rate).To(Equal(1.5))
	e.Expect(decoded[0].Limited()).To(BeTrue())
	e.Expect(decoded[0].LeavingAt).To(BeTemporally("~", records[0].LeavingAt, 2*time.Millisecond))
	e.Expect(decoded[0].LimitReportedAt).To(BeTemporally("~", records[0].LimitReportedAt, 2*time.Millisecond))
	e.Expect(decoded[0].LimitLiftedAt).To(BeTemporally("~", records[0].LimitLiftedAt, 2*time.Millisecond))
}

// Invalid rates reported by faulty routers must have no effect.
func TestInvalidRatesAreIgnored(t *testing.T) {
	t.Parallel()
	for _, rate := range []float64{math.NaN(), math.Inf(1), -1} {
		decoded := decodeSignals(time.Now(), []*wire.RunnerSignal{{Runner: "a", Named: true, Rate: rate}})
		NewWithT(t).Expect(decoded[0].Limited()).To(BeFalse())
	}
}

// The scheduler of an earlier version answers without a permit. A router that knows of the
// runner's limit must not take such an answer as permission to send.
func TestPlacementWithoutPermitGrantsNone(t *testing.T) {
	t.Parallel()
	e := NewWithT(t)
	e.Expect((&placementChoice{requestedAt: time.Now()}).permit().Valid(time.Now())).To(BeFalse())
	e.Expect((&placementChoice{requestedAt: time.Now(), permitted: true}).permit().Valid(time.Now())).To(BeTrue())
}

// Records of prompt parts travel in fields of their own, which earlier versions skip: these would take them for
// records of a content.
func TestPartRecordsSurviveEncodingAndAreKeptFromEarlierVersions(t *testing.T) {
	t.Parallel()
	e, now := NewWithT(t), time.Now()
	part := quarantine.Record{
		Subject: quarantine.NewPart("t", "5c1e"), Service: "engines", RunTime: 1500 * time.Millisecond, ContrastAt: now.Add(-time.Second),
		Crashes: []quarantine.Crash{{Runner: quarantine.Runner{ID: "a", Incarnation: 3}, Content: 1<<63 + 7, SentAt: now.Add(-3 * time.Second), DetectedAt: now.Add(-2 * time.Second)}},
	}
	message := encodeSuspectNews(now, append(suspectRecords(now), part))
	e.Expect(message.GetRecords()).To(HaveLen(1))
	decoded := decodeSuspects(now, message.GetParts())
	e.Expect(decoded).To(HaveLen(1))
	e.Expect(decoded[0].Subject).To(Equal(part.Subject))
	e.Expect(decoded[0].Service).To(Equal(part.Service))
	e.Expect(decoded[0].RunTime).To(Equal(part.RunTime))
	e.Expect(decoded[0].ContrastAt).To(BeTemporally("~", part.ContrastAt, 2*time.Millisecond))
	e.Expect(decoded[0].Crashes[0].Content).To(Equal(part.Crashes[0].Content))
	e.Expect(decoded[0].Crashes[0].DetectedAt).To(BeTemporally("~", part.Crashes[0].DetectedAt, 2*time.Millisecond))
}
