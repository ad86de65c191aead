package engineapi

import (
	"bufio"
	"bytes"
	"io"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// readFrames reads all frames of input, with a buffer so small that long lines exceed it.
func readFrames(input string) (frames []Frame, err error) {
	reader := NewFrameReader(bufio.NewReaderSize(strings.NewReader(input), 64))
	for {
		var frame Frame
		if err = reader.Next(&frame); err != nil {
			return frames, err
		}
		frame.Data = bytes.Clone(frame.Data)
		frame.Request = bytes.Clone(frame.Request)
		frames = append(frames, frame)
	}
}

func TestFramesRoundTrip(t *testing.T) {
	g := NewWithT(t)
	long := strings.Repeat("x", 500)
	wire := AppendFrame(nil, "", "request/with-slash", 3, 17, 2, []byte(long))
	wire = AppendFrame(wire, EventEnd, "r", 1, 0, 0, []byte("{}"))
	frames, err := readFrames(string(wire))
	g.Expect(err).To(Equal(io.EOF))
	g.Expect(frames).To(HaveLen(2))
	g.Expect(string(frames[0].Request)).To(Equal("request/with-slash"))
	g.Expect(frames[0].Attempt).To(Equal(uint32(3)))
	g.Expect(frames[0].Offset).To(Equal(17))
	g.Expect(frames[0].Count).To(Equal(2))
	g.Expect(string(frames[0].Data)).To(Equal(long))
	g.Expect(frames[1].Event).To(Equal(EventEnd))
}

func TestMalformedFramesReturnErrMalformedFrame(t *testing.T) {
	for _, input := range []string{
		"nonsense\n\n", "id: a/b/c/d\ndata: x\n\n", "id: 1/2/3\ndata: x\n\n", "data: x\n\n", "id: r/1/2/99999999999\ndata: x\n\n",
	} {
		t.Run(input, func(t *testing.T) {
			_, err := readFrames(input)
			NewWithT(t).Expect(err).To(MatchError(ErrMalformedFrame))
		})
	}
}

func FuzzFrameReader(f *testing.F) {
	f.Add(string(AppendFrame(nil, "", "r", 1, 2, 3, []byte("{}"))))
	f.Add("id: r/1/2/3\ndata: \n\n")
	f.Fuzz(func(t *testing.T, input string) {
		frames, err := readFrames(input)
		if err == nil {
			t.Fatal("reading must end with an error")
		}
		for _, frame := range frames {
			if len(frame.Request) == 0 || frame.Offset < 0 || frame.Count < 0 {
				t.Fatalf("invalid frame %+v", frame)
			}
		}
	})
}

// Guards against frames that are delivered although the stream ended inside them, whatever its framing said.
func TestStreamThatEndsInsideAFrameDeliversNoPartOfIt(t *testing.T) {
	g := NewWithT(t)
	whole := AppendFrame(nil, "", "r", 1, 0, 1, []byte("a"))
	stream := AppendFrame(bytes.Clone(whole), EventEnd, "r", 1, 1, 0, []byte(`{"completion_tokens":1}`))
	for end := len(whole); end < len(stream); end++ {
		frames, err := readFrames(string(stream[:end]))
		g.Expect(err).To(Equal(io.EOF))
		g.Expect(frames).To(HaveLen(1), "cut after %d of %d bytes", end, len(stream))
	}
}
