package placement

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Pattern: long prompts and streams of short ones share a pool; each step of a stream
// waits for the pieces that are read. Callers allow pauses of 300 ms.
const allowedPause = 300 * time.Millisecond

func longRequest() Request {
	long := request
	long.PromptTokens, long.MaxWait = 2500, 0 // a quarter of a second at 10,000 tokens a second
	return long
}

func TestLongReadGoesWhereFewStreamsWaitForIt(t *testing.T) {
	g := NewWithT(t)
	streaming, waiting := candidate("streaming"), candidate("waiting")
	streaming.Pauses = Pauses{Streams: 4, Gap: allowedPause}
	waiting.Report.Load.QueuedTokens[0] = 2000
	g.Expect(choose(longRequest(), streaming, waiting).Candidate.Name).To(Equal("waiting"))
	streaming.Pauses.Streams = 0
	g.Expect(choose(longRequest(), streaming, waiting).Candidate.Name).To(Equal("streaming"))
}

func TestShortReadHardlyMindsStreams(t *testing.T) {
	g := NewWithT(t)
	streaming, waiting := candidate("streaming"), candidate("waiting")
	streaming.Pauses = Pauses{Streams: 4, Gap: allowedPause}
	waiting.Report.Load.QueuedTokens[0] = 200
	short := request
	short.PromptTokens = 100
	g.Expect(choose(short, streaming, waiting).Candidate.Name).To(Equal("streaming"))
}

func TestHarmOfReadingGrowsWithWhatIsReadThere(t *testing.T) {
	g := NewWithT(t)
	idle, reading := candidate("idle"), candidate("reading")
	for _, c := range []*Candidate{&idle, &reading} {
		c.Pauses = Pauses{Streams: 1, Gap: allowedPause}
	}
	reading.Pauses.Reading = 1000
	r := longRequest()
	r.PromptTokens = 1000
	g.Expect(interference(r, reading, Weights{Hit: 1})).To(BeNumerically(">", 2*interference(r, idle, Weights{Hit: 1})))
}

func TestPausesArePartOfTheChoiceAndNotOfTheWait(t *testing.T) {
	g := NewWithT(t)
	r := longRequest()
	r.MaxWait = 10 * time.Millisecond
	alone, shared := candidate("alone"), candidate("shared")
	shared.Pauses, shared.ApartTokens = Pauses{Streams: 30, Gap: allowedPause}, 50000
	pick := choose(r, shared)
	g.Expect(pick.Status).To(Equal(Picked), "nobody is refused for the pauses of others")
	g.Expect(pick.Wait).To(Equal(choose(r, alone).Wait))
}

func TestWithoutStreamsOrAllowedPauseNothingIsWeighed(t *testing.T) {
	g := NewWithT(t)
	unbounded, none := candidate("unbounded"), candidate("none")
	unbounded.Pauses = Pauses{Streams: 30}
	none.Pauses = Pauses{Gap: allowedPause}
	g.Expect(interference(longRequest(), unbounded, Weights{Hit: 1})).To(BeZero())
	g.Expect(interference(longRequest(), none, Weights{Hit: 1})).To(BeZero())
}

func TestRefusedOnlyWhenTheQueueIsTooLongEverywhere(t *testing.T) {
	g := NewWithT(t)
	r := longRequest()
	r.MaxWait = 100 * time.Millisecond
	// The one keeps the whole prompt behind a queue of 150 ms, the other has none of it.
	holder, streaming := candidate("holder"), candidate("streaming")
	holder.CachedTokens, holder.PendingTokens = r.PromptTokens, 1500
	streaming.Pauses = Pauses{Streams: 8, Gap: allowedPause}
	pick := choose(r, holder, streaming)
	g.Expect(pick.Status).To(Equal(Picked))
	g.Expect(pick.Candidate.Name).To(Equal("streaming"))
	streaming.PendingTokens = 1500
	g.Expect(choose(r, holder, streaming).Status).To(Equal(Overloaded))
}
