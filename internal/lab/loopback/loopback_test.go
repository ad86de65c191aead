package loopback

import (
	"net"
	"strconv"
	"testing"

	. "github.com/onsi/gomega"
)

// An address is not one that the kernel may give to an outgoing connection.
func TestFreeAddressesAreBelowTheEphemeralPorts(t *testing.T) {
	g := NewWithT(t)
	for range 50 {
		address := FreeAddress()
		_, port, err := net.SplitHostPort(address)
		g.Expect(err).NotTo(HaveOccurred())
		number, err := strconv.Atoi(port)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(number).To(BeNumerically("<", 32768))
		listener, err := net.Listen("tcp", address)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(listener.Close()).To(Succeed())
	}
}
