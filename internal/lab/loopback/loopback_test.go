package loopback

import (
	"net"
	"strconv"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against returning ports that the kernel may give to outgoing connections.
func TestFreeAddressAvoidsEphemeralPorts(t *testing.T) {
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

// Guards against two processes that run at the same time and allocate the same ports.
func TestProcessesReserveDifferentBlocks(t *testing.T) {
	g := NewWithT(t)
	FreeAddress()
	allocator.Lock()
	defer allocator.Unlock()
	first := allocator.reservations[0].Addr().String()
	_, err := net.Listen("tcp", first)
	g.Expect(err).To(HaveOccurred(), "the block must stay reserved until the process exits")
	before := allocator.current
	reserveBlock()
	g.Expect((allocator.current - minPort) / portsPerBlock).NotTo(Equal((before - minPort) / portsPerBlock))
}

func TestFreeAddressNeverRepeats(t *testing.T) {
	g := NewWithT(t)
	given := map[string]bool{}
	for range portsPerBlock + 50 {
		address := FreeAddress()
		g.Expect(given).NotTo(HaveKey(address))
		given[address] = true
	}
}
