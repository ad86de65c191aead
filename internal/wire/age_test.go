package wire

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestEncodedAgeIsNeverBelowActualAge(t *testing.T) {
	g := NewWithT(t)
	for _, age := range []time.Duration{-time.Second, 0, time.Microsecond, time.Millisecond, 1999500 * time.Microsecond} {
		decoded := AgeFromMillis(AgeToMillis(age))
		g.Expect(decoded).To(BeNumerically(">", age))
		g.Expect(decoded).To(BeNumerically("<=", max(age, 0)+time.Millisecond))
	}
}
