package faultproxy

import (
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func echo(g *WithT) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go io.Copy(conn, conn)
		}
	}()
	return listener.Addr().String()
}

func TestModes(t *testing.T) {
	g := NewWithT(t)
	proxy, err := Start(echo(g))
	g.Expect(err).NotTo(HaveOccurred())
	defer proxy.Close()
	ask := func() error {
		conn, err := net.Dial("tcp", proxy.Address)
		if err != nil {
			return err
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(400 * time.Millisecond))
		if _, err := conn.Write([]byte("x")); err != nil {
			return err
		}
		_, err = io.ReadFull(conn, make([]byte, 1))
		return err
	}
	for mode, works := range map[Mode]bool{Pass: true, Delay: true, Reset: false, CutBack: false, Silence: false} {
		proxy.Set(mode)
		began := time.Now()
		if works {
			g.Expect(ask()).To(Succeed(), mode.String())
		} else {
			g.Expect(ask()).NotTo(Succeed(), mode.String())
		}
		if mode == Delay {
			g.Expect(time.Since(began)).To(BeNumerically(">=", 2*delayTime))
		}
		proxy.Set(Pass)
		g.Expect(ask()).To(Succeed())
	}
}
