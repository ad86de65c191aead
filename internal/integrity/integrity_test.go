package integrity

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const maxTestEvent = 1 << 10

// copyAll copies the stream and returns what was written, the last ID and the end.
func copyAll(body io.Reader, framing Framing) (written, lastID string, end End) {
	end, _ = CopyEvents(body, framing, func(bytes int) bool { return bytes <= maxTestEvent }, func(events []byte, id string) error {
		written += string(events)
		lastID = id
		return nil
	})
	return written, lastID, end
}

// Guards against streams that are taken for complete although they ended inside an event, and against half
// events that reach the caller.
func TestStreamIsCompleteOnlyBetweenEvents(t *testing.T) {
	const first = "id: 1\ndata: a\n\n"
	for name, test := range map[string]struct {
		stream  string
		written string
		verdict Verdict
	}{
		"whole":                                {first + "id: 2\ndata: b\n\n", first + "id: 2\ndata: b\n\n", Complete},
		"inside the second event":              {first + "id: 2\nda", first, InsideEvent},
		"one newline short":                    {first + "id: 2\ndata: b\n", first, InsideEvent},
		"after the ID of the second event":     {first + "id: 2\n", first, InsideEvent},
		"inside the first event":               {"id: 1\nda", "", InsideEvent},
		"CRLF":                                 {"id: 1\r\ndata: a\r\n\r\n", "id: 1\r\ndata: a\r\n\r\n", Complete},
		"CRLF, one pair short":                 {"id: 1\r\ndata: a\r\n", "", InsideEvent},
		"CR":                                   {"id: 1\rdata: a\r\r", "id: 1\rdata: a\r\r", Complete},
		"mixed line ends":                      {"id: 1\r\ndata: a\n\r\n" + first, "id: 1\r\ndata: a\n\r\n" + first, Complete},
		"comment at the end":                   {first + ": done\n", first + ": done\n", Complete},
		"inside a comment":                     {first + ": do", first, InsideEvent},
		"comment inside an event":              {"id: 1\n: wait\ndata: a\n\n", "id: 1\n: wait\ndata: a\n\n", Complete},
		"more blank lines":                     {"\n\n" + first + "\n\n", "\n\n" + first + "\n\n", Complete},
		"field without a value at the end":     {first + "data\n", first, InsideEvent},
		"last line without data, but complete": {first + "id: 2\n\n", first + "id: 2\n\n", Complete},
	} {
		for _, framing := range []Framing{ByLength, ByChunks, ByClose} {
			t.Run(name+" "+framing.String(), func(t *testing.T) {
				g := NewWithT(t)
				written, _, end := copyAll(strings.NewReader(test.stream), framing)
				g.Expect(written).To(Equal(test.written))
				g.Expect(end.Verdict).To(Equal(test.verdict))
			})
		}
	}
}

// Guards against streams without length and chunks that look complete although they stopped between CR and LF, and against others that
// are taken for broken because they end in CR.
func TestStreamThatEndsBetweenCRAndLF(t *testing.T) {
	for _, test := range []struct {
		stream  string
		framing Framing
		verdict Verdict
	}{
		{"id: 1\r\ndata: a\r\n\r", ByLength, Complete}, {"id: 1\r\ndata: a\r\n\r", ByChunks, Complete}, {"id: 1\r\ndata: a\r\n\r", ByClose, InsideEvent},
		{"id: 1\rdata: a\r\r", ByClose, Complete}, {"id: 1\ndata: a\n\r", ByClose, Complete}, {"id: 1\r\ndata: a\r\n\r\n", ByClose, Complete},
	} {
		g := NewWithT(t)
		written, lastID, end := copyAll(strings.NewReader(test.stream), test.framing)
		g.Expect(end.Verdict).To(Equal(test.verdict), "%q, %s", test.stream, test.framing)
		if test.verdict == Complete {
			g.Expect(written).To(Equal(test.stream))
			g.Expect(lastID).To(Equal("1"))
		} else {
			// Another stream may go on, and its first line would belong to the event.
			g.Expect(written).To(BeEmpty())
		}
	}
}

// Guards against streams without length and chunks that look complete although they stopped at a byte that is not the end of an event:
// inside a multi-byte character, the line of an ID, or a line end. That they stopped between two events can't be told.
func TestUnframedStreamIsCompleteOnlyAtTheEndsOfEvents(t *testing.T) {
	for _, lineEnd := range []string{"\n", "\r\n", "\r"} {
		event := strings.ReplaceAll("event: e\nid: é1\n: comment\ndata: {\"a\": \"日本\"}\ndata\n\n", "\n", lineEnd)
		stream := strings.Repeat(event, 3)
		for n := range len(stream) + 1 {
			for _, reader := range []io.Reader{strings.NewReader(stream[:n]), iotest.OneByteReader(strings.NewReader(stream[:n]))} {
				g := NewWithT(t)
				written, _, end := copyAll(reader, ByClose)
				g.Expect(end.IsComplete()).To(Equal(n > 0 && n%len(event) == 0), "%q", stream[:n])
				g.Expect(written).To(Equal(stream[:n-n%len(event)]))
			}
		}
	}
}

// Guards against streams whose runner ended before the first event, which would look like empty ones.
func TestClosedStreamWithoutEventIsNotComplete(t *testing.T) {
	for _, stream := range []string{"", "\n", ": wait\n"} {
		g := NewWithT(t)
		_, _, end := copyAll(strings.NewReader(stream), ByClose)
		g.Expect(end.Verdict).To(Equal(WithoutEvent))
		for _, framing := range []Framing{ByLength, ByChunks} {
			_, _, end := copyAll(strings.NewReader(stream), framing)
			g.Expect(end.Verdict).To(Equal(Complete))
		}
	}
}

// Guards against a reset at the end of an event that is taken for the end of the stream.
func TestFailedReadInterruptsTheStream(t *testing.T) {
	g := NewWithT(t)
	lost := errors.New("connection reset")
	body := io.MultiReader(strings.NewReader("id: 1\ndata: a\n\n"), iotest.ErrReader(lost))
	written, lastID, end := copyAll(body, ByClose)
	g.Expect(written).To(Equal("id: 1\ndata: a\n\n"))
	g.Expect(lastID).To(Equal("1"))
	g.Expect(end).To(Equal(End{Verdict: Interrupted, Cause: lost}))
}

// Guards against the ID of an event that is held back, which would be missing when another runner goes on after it, and against events
// that are held back longer than until the next byte.
func TestEventHeldBackAfterCR(t *testing.T) {
	g := NewWithT(t)
	var splitter EventSplitter
	g.Expect(string(splitter.Push([]byte("id: 1\r\n\r\nid: 2\r\n\r")))).To(Equal("id: 1\r\n\r\n"))
	g.Expect(splitter.LastID()).To(Equal("1"))
	g.Expect(string(splitter.Push([]byte("\n")))).To(Equal("id: 2\r\n\r\n"))
	g.Expect(splitter.LastID()).To(Equal("2"))
	g.Expect(string(splitter.Push([]byte("id: 3\r\n\r")))).To(BeEmpty())
	g.Expect(string(splitter.Push([]byte("i")))).To(Equal("id: 3\r\n\r"))
	g.Expect(splitter.LastID()).To(Equal("3"))
	g.Expect(string(splitter.Push([]byte("d: 4\r\r")))).To(BeEmpty())
	g.Expect(string(splitter.Finish())).To(Equal("id: 4\r\r"))
	g.Expect(splitter.LastID()).To(Equal("4"))
	g.Expect(splitter.Finish()).To(BeEmpty())
}

func TestEventAboveTheLimitEndsTheStream(t *testing.T) {
	g := NewWithT(t)
	_, _, end := copyAll(strings.NewReader("data: "+strings.Repeat("x", 4*maxTestEvent)), ByChunks)
	g.Expect(end.Verdict).To(Equal(Oversized))
}

// Guards against results that depend on how the network splits the stream, and against bytes that are lost or
// written before their event is complete.
func TestSplittingDoesNotDependOnReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := strings.Join(rapid.SliceOf(rapid.SampledFrom([]string{"id: 7", "id:", "data: x", ":c", "\n", "\r", "\r\n", "\n\n", "a"})).Draw(t, "stream"), "")
		framing := rapid.SampledFrom([]Framing{ByLength, ByChunks, ByClose}).Draw(t, "framing")
		written, lastID, end := copyAll(strings.NewReader(stream), framing)
		writtenByByte, lastIDByByte, endByByte := copyAll(iotest.OneByteReader(strings.NewReader(stream)), framing)
		g := NewWithT(t)
		g.Expect(writtenByByte).To(Equal(written))
		g.Expect(lastIDByByte).To(Equal(lastID))
		g.Expect(endByByte).To(Equal(end))
		g.Expect(stream).To(HavePrefix(written))
		if end.IsComplete() {
			g.Expect(written).To(Equal(stream))
		}
	})
}

func TestReadAllTellsCompleteUnfinishedAndInterrupted(t *testing.T) {
	g := NewWithT(t)
	data, end := ReadAll(strings.NewReader("abc"), 10)
	g.Expect(string(data)).To(Equal("abc"))
	g.Expect(end.IsComplete()).To(BeTrue())
	data, end = ReadAll(strings.NewReader("abcdef"), 3)
	g.Expect(string(data)).To(Equal("abc"))
	g.Expect(end.Verdict).To(Equal(Unfinished))
	_, end = ReadAll(io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(io.ErrUnexpectedEOF)), 10)
	g.Expect(end.Verdict).To(Equal(Interrupted))
	g.Expect(end.IsBroken()).To(BeTrue())
}

func TestFramingOfResponses(t *testing.T) {
	g := NewWithT(t)
	g.Expect(FramingOf(&http.Response{ContentLength: 3})).To(Equal(ByLength))
	g.Expect(FramingOf(&http.Response{ContentLength: -1, TransferEncoding: []string{"chunked"}})).To(Equal(ByChunks))
	g.Expect(FramingOf(&http.Response{ContentLength: -1})).To(Equal(ByClose))
	g.Expect(FramingOf(&http.Response{ContentLength: -1, Body: http.NoBody})).To(Equal(ByLength), "the response to a HEAD request")
}
