package events

import (
	"bytes"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// blockedOutput takes nothing until it is released.
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

func TestFullOutputCostsLinesAndNothingElse(t *testing.T) {
	g := NewWithT(t)
	output := &blockedOutput{release: make(chan struct{})}
	writer := NewAsyncWriter(output)
	began := time.Now()
	const lines = 3 * queuedLines
	for range lines {
		n, err := writer.Write([]byte("line\n"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(n).To(Equal(5))
	}
	g.Expect(time.Since(began)).To(BeNumerically("<", time.Second), "never blocked")
	g.Expect(writer.Dropped()).To(BeNumerically("~", lines-queuedLines, 1))
	writer.Flush()
	close(output.release)
	g.Eventually(func() int {
		output.mutex.Lock()
		defer output.mutex.Unlock()
		return output.written.Len() / 5
	}).Should(BeNumerically("~", queuedLines, 1), "what was queued is written later")
}

// deadOutput fails always.
type deadOutput struct{}

func (deadOutput) Write([]byte) (int, error) { return 0, bytes.ErrTooLarge }

func TestDeadOutputIsHarmless(t *testing.T) {
	g := NewWithT(t)
	writer := NewAsyncWriter(deadOutput{})
	for range 10 * queuedLines {
		_, err := writer.Write([]byte("line\n"))
		g.Expect(err).NotTo(HaveOccurred())
	}
	writer.Flush()
}

func TestLinesAreCopied(t *testing.T) {
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
