package gateway

import (
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against callers that are taken for gone because the kernel lacks memory or interrupts a call.
func TestOnlyAnEndOfTheConnectionCountsAsLeaving(t *testing.T) {
	g := NewWithT(t)
	g.Expect(isEndOfConnection(0, nil)).To(BeTrue(), "end of the data")
	g.Expect(isEndOfConnection(1, nil)).To(BeFalse(), "data of another request")
	for _, err := range []error{syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.ENOTCONN} {
		g.Expect(isEndOfConnection(-1, err)).To(BeTrue(), err.Error())
	}
	for _, err := range []error{syscall.EAGAIN, syscall.EINTR, syscall.ENOMEM, syscall.ENOBUFS, syscall.EFAULT, syscall.EINVAL} {
		g.Expect(isEndOfConnection(-1, err)).To(BeFalse(), err.Error())
	}
}
