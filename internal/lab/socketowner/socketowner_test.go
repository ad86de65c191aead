package socketowner

import (
	"net"
	"os"
	"testing"

	"github.com/gravitational/trace"
	. "github.com/onsi/gomega"
)

// The soak would take a connection for one of the wrong region if the owner were found wrongly.
func TestOwnerOfConnectionIsFound(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer client.Close()
	clientAddress, serverAddress := client.LocalAddr().(*net.TCPAddr), client.RemoteAddr().(*net.TCPAddr)

	inode, err := Inode(clientAddress, serverAddress)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(IsOpenIn(os.Getpid(), inode)).To(BeTrue())
	g.Expect(IsOpenIn(os.Getppid(), inode)).To(BeFalse())

	_, err = Inode(serverAddress, &net.TCPAddr{IP: clientAddress.IP, Port: serverAddress.Port})
	g.Expect(trace.IsNotFound(err)).To(BeTrue(), "%v", err)
}
