package wire

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestToldAgesAreNeverBelowTheTrueOnes(t *testing.T) {
	g := NewWithT(t)
	for _, age := range []time.Duration{-time.Second, 0, time.Microsecond, time.Millisecond, 1999500 * time.Microsecond} {
		told := Age(AgeMillis(age))
		g.Expect(told).To(BeNumerically(">", age))
		g.Expect(told).To(BeNumerically("<=", max(age, 0)+time.Millisecond))
	}
}
