package events

import (
	"bytes"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// blockedOutput blocks all writes until release is closed.
type blockedOutput struct {
	release chan struct{}
	mutex   sync.Mutex
	written bytes.Buffer
}

func (o *blockedOutput) Write(line []byte) (int, error) {
	<-o.release
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.written.Write(line)
}

func TestFullQueueDropsLinesWithoutBlocking(t *testing.T) {
	g := NewWithT(t)
	output := &blockedOutput{release: make(chan struct{})}
	writer := NewAsyncWriter(output)
	start := time.Now()
	const lines = 3 * maxQueuedLines
	for range lines {
		n, err := writer.Write([]byte("line\n"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(n).To(Equal(5))
	}
	g.Expect(time.Since(start)).To(BeNumerically("<", time.Second), "Write must not block")
	g.Expect(writer.Dropped()).To(BeNumerically("~", lines-maxQueuedLines, 1))
	writer.Flush()
	close(output.release)
	g.Eventually(func() int {
		output.mutex.Lock()
		defer output.mutex.Unlock()
		return output.written.Len() / 5
	}).Should(BeNumerically("~", maxQueuedLines, 1), "queued lines are written once the output is released")
}

// failingOutput fails on every write.
type failingOutput struct{}

func (failingOutput) Write([]byte) (int, error) { return 0, bytes.ErrTooLarge }

func TestFailingOutputDoesNotBlockOrReturnErrors(t *testing.T) {
	g := NewWithT(t)
	writer := NewAsyncWriter(failingOutput{})
	for range 10 * maxQueuedLines {
		_, err := writer.Write([]byte("line\n"))
		g.Expect(err).NotTo(HaveOccurred())
	}
	writer.Flush()
}

func TestWriteCopiesLine(t *testing.T) {
	g := NewWithT(t)
	output := &blockedOutput{release: make(chan struct{})}
	writer := NewAsyncWriter(output)
	line := []byte("one\n")
	writer.Write(line)
	copy(line, "two\n")
	close(output.release)
	g.Eventually(func() string {
		output.mutex.Lock()
		defer output.mutex.Unlock()
		return output.written.String()
	}).Should(Equal("one\n"))
}
