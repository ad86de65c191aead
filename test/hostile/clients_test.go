package hostile_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/clovertiller/clovertiller/platform"
)

// The numbers of hostile clients. They send at the same time, and keep their connections open.
const (
	headCrowd = 1000
	bodyCrowd = 100
)

// sendTime bounds how long a client goes on sending what has no end, or waits for a router that does not read.
const sendTime = 10 * time.Second

// chunkedHead is the head of a request of an ordinary caller whose body comes in chunks.
func chunkedHead(path string) string { return requestHead(path) + "Transfer-Encoding: chunked\r\n\r\n" }

func requestHead(path string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n%s: hostile\r\n%s: 60000\r\n", path, hostName, validKey, platform.HeaderRequestID, platform.HeaderDeadlineMillis)
}

// chunks returns chunks of the size with the number of bytes, without the last chunk.
func chunks(size, total int) []byte {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
	return bytes.Repeat([]byte(chunk), total/size)
}

// crowd lets the clients send once, and then the unit again and again if there is one, and keeps their connections open. Routers may close
// them.
func (m *machine) crowd(count int, address string, once, unit []byte) {
	var clients sync.WaitGroup
	for range count {
		connection := m.dial(address)
		if connection == nil {
			continue
		}
		clients.Go(func() { sendAll(connection, once, unit) })
	}
	clients.Wait()
}

func sendAll(connection net.Conn, once, unit []byte) {
	go func() { _, _ = io.Copy(io.Discard, connection) }()
	_ = connection.SetDeadline(time.Now().Add(sendTime))
	_, err := connection.Write(once)
	for err == nil && len(unit) > 0 {
		_, err = connection.Write(unit)
	}
}

// Guards against routers that run out of memory under heads over the limit, or without end.
func TestHeadsOverTheLimitStayWithinMemory(t *testing.T) {
	begin := "POST /plain/x HTTP/1.1\r\nHost: " + hostName + "\r\n"
	for name, sent := range map[string][2]string{
		"one line":            {begin + "X: " + strings.Repeat("x", 120<<10), ""},
		"one line, endless":   {begin + "X: ", strings.Repeat("x", 4<<10)},
		"many lines":          {begin + strings.Repeat("X-More: 1\r\n", 10<<10), ""},
		"many lines, endless": {begin, strings.Repeat("X-More: 1\r\n", 400)},
		"request line":        {"POST /" + strings.Repeat("x", 120<<10), ""},
	} {
		t.Run(name, func(t *testing.T) {
			m := startMachine(t)
			m.crowd(headCrowd, m.front, []byte(sent[0]), []byte(sent[1]))
			m.expectSound()
		})
	}
}

// Guards against routers that hang under empty lines without end before a request.
func TestEmptyLinesWithoutEndStayWithinMemory(t *testing.T) {
	m := startMachine(t)
	m.crowd(headCrowd, m.front, nil, bytes.Repeat([]byte("\r\n"), 2<<10))
	m.expectSound()
}

// Guards against routers that run out of memory under many bodies at once that stop short of their end.
func TestBodiesShortOfTheirEndStayWithinMemory(t *testing.T) {
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes)
	for name, sent := range map[string][]byte{
		"large chunks": append([]byte(chunkedHead("/plain/x")), chunks(64<<10, maxBodyBytes-64<<10)...),
		"small chunks": append([]byte(chunkedHead("/plain/x")), chunks(16, maxBodyBytes-16)...),
		"announced":    append([]byte(requestHead("/plain/x")+length), bytes.Repeat([]byte("x"), maxBodyBytes-1)...),
	} {
		t.Run(name, func(t *testing.T) {
			m := startMachine(t)
			m.crowd(bodyCrowd, m.front, sent, nil)
			m.expectSound()
		})
	}
}

// Guards against routers that run out of memory under bodies far over the limit.
func TestBodiesOverTheLimitStayWithinMemory(t *testing.T) {
	for name, head := range map[string]string{
		"chunks":    chunkedHead("/plain/x"),
		"announced": requestHead("/plain/x") + "Content-Length: 1099511627776\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			m := startMachine(t)
			m.crowd(bodyCrowd, m.front, []byte(head), chunks(4<<10, 64<<10))
			m.expectSound()
		})
	}
}

// Guards against routers that run out of memory under whole bodies that wait for their runners.
func TestBodiesThatWaitForRunnersStayWithinMemory(t *testing.T) {
	body := append([]byte(requestHead("/silent/x")+fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes)), bytes.Repeat([]byte("x"), maxBodyBytes)...)
	m := startMachine(t)
	m.crowd(bodyCrowd, m.front, body, nil)
	m.expectSound()
}

// Guards against the same at the address for other routers.
func TestForwardedBodiesShortOfTheirEndStayWithinMemory(t *testing.T) {
	m := startMachine(t)
	sent := append([]byte(fmt.Sprintf("POST /forwarded-call HTTP/1.1\r\nHost: router\r\nContent-Length: %d\r\n\r\n", maxBodyBytes)), bytes.Repeat([]byte("x"), maxBodyBytes-1)...)
	m.crowd(bodyCrowd, m.control, sent, nil)
	m.expectSound()
}
