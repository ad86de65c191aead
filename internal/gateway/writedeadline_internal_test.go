package gateway

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// slowConnection is the writer of a caller that reads at a steady rate. As with a real connection, a write that is not
// done at the write deadline fails.
type slowConnection struct {
	*httptest.ResponseRecorder
	bytesPerSecond int
	deadline       time.Time
}

func (s *slowConnection) SetWriteDeadline(deadline time.Time) error {
	s.deadline = deadline
	return nil
}

func (s *slowConnection) Write(data []byte) (int, error) {
	needed := time.Duration(float64(len(data)) / float64(s.bytesPerSecond) * float64(time.Second))
	if left := time.Until(s.deadline); left < needed {
		time.Sleep(left)
		return 0, os.ErrDeadlineExceeded
	}
	time.Sleep(needed)
	return s.ResponseRecorder.Write(data)
}

// realClock is the clock of the process.
type realClock struct{}

func (realClock) Now() time.Time           { return time.Now() }
func (realClock) Suspended() time.Duration { return 0 }

// Guards against responses that are cut off at a time counted from the call's end while the caller reads them.
func TestResponseIsNotCutWhileCallerReads(t *testing.T) {
	t.Parallel()
	for name, rate := range map[string]int{"reads": 128 << 10, "reads nothing": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			connection := &slowConnection{ResponseRecorder: httptest.NewRecorder(), bytesPerSecond: rate}
			c := &call{gateway: &Gateway{ports: Ports{Clock: realClock{}}}, writer: connection, controller: http.NewResponseController(connection), deadline: time.Now()}
			g.Expect(c.controller.SetWriteDeadline(c.deadline.Add(writeTimeoutSlack))).To(Succeed())
			err := c.writeWhole(unpromisedStatus(http.StatusOK), bytes.Repeat([]byte("x"), 320<<10))
			if name == "reads" {
				g.Expect(err).NotTo(HaveOccurred(), "it takes 2.5 s")
				return
			}
			g.Expect(err).To(HaveOccurred())
			cause, _ := c.interruption()
			g.Expect(cause).To(Equal(writeTimedOut))
		})
	}
}
