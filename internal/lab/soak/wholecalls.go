package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/platform"
)

// Callers that keep their connections and record how each call ends.
const (
	// wholeCallersPerGateway is the number of these callers at each gateway, and minWholeCallers the least in all.
	wholeCallersPerGateway = 2
	minWholeCallers        = 32
	// largeBodyPercent is the percentage of calls with a body that smallBodyLimit does not allow, and
	// chunkedPercent that of bodies that are sent in chunks.
	largeBodyPercent = 8
	chunkedPercent   = 8
	// reconnectPause is the pause before the next attempt to reach a gateway that accepts no connection.
	reconnectPause = 100 * time.Millisecond
	dialTimeout    = time.Second
	// wholeCallPause bounds the pause between two calls, and refusedPause is added after one that was refused.
	wholeCallPause = 80 * time.Millisecond
	refusedPause   = 100 * time.Millisecond
	// maxIdle bounds the pause between calls of callers that leave their connections idle.
	maxIdle = 4 * time.Second
	// answerSlack is how long after its own time a call may still be answered.
	answerSlack = 2 * time.Second
)

// wholeCallKinds lists the routes of these callers and the time that they wait.
var wholeCallKinds = []struct {
	route      string
	repeatable bool
	streams    bool
	timeout    time.Duration
}{
	{"long-resumable", true, true, 12 * time.Second},
	{"long-single", false, true, 12 * time.Second},
	{"repeatable", true, false, 5 * time.Second},
	{"single", false, false, 5 * time.Second},
	{"long-resumable", true, true, 12 * time.Second},
	{"visit", true, false, 5 * time.Second},
}

// wholeCallerCount returns the number of callers that record how each call ends.
func (s Settings) wholeCallerCount() int {
	return max(minWholeCallers, wholeCallersPerGateway*s.gatewayCount())
}

// wholeCall is a call of which the caller recorded how its connection ended.
type wholeCall struct {
	*callRecord
	route string
	// streams is set if the answer is a stream, and timeout is the time that the caller gave the gateway.
	streams bool
	timeout time.Duration
	// connectedAt is when the connection was opened, and reused is set if it had carried a call before.
	connectedAt time.Time
	reused      bool
	// sentWholeAt is when the last byte had been written, zero if not all were.
	sentWholeAt time.Time
	// hasBytes is set if any byte of an answer came. answered is set if the answer was whole.
	hasBytes bool
	answered bool
	// end describes how a call without a whole answer ended.
	end string
	// stamped is set if the answer is that of a runner.
	stamped bool
}

// wholeCallerPool sends calls over connections that stay open, and checks how each call ends.
type wholeCallerPool struct {
	soak  *Soak
	mutex sync.Mutex
	calls []*wholeCall
}

func (p *wholeCallerPool) add(call *wholeCall) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.calls = append(p.calls, call)
}

// callerConn is a caller's connection to a gateway.
type callerConn struct {
	net.Conn
	reader   *bufio.Reader
	openedAt time.Time
	uses     int
	// received is the number of bytes that were received.
	received int
}

func (c *callerConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.received += n
	return n, err
}

// run sends calls to one gateway until the context is done. It uses each connection until the gateway closes it.
func (p *wholeCallerPool) run(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(p.soak.settings.Seed, uint64(2000+number)))
	gateways := len(p.soak.processes)
	target := p.soak.processes[number%gateways]
	// Gateways have different kinds, also if each has fewer callers than there are kinds.
	kind := wholeCallKinds[(number%gateways+number/gateways)%len(wholeCallKinds)]
	pause := wholeCallPause
	if random.IntN(3) == 0 {
		pause = maxIdle
	}
	var conn *callerConn
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for index := 0; ctx.Err() == nil; index++ {
		if conn == nil {
			opened, err := net.DialTimeout("tcp", target.addresses.CallAddress, dialTimeout)
			if err != nil {
				// The gateway is gone or starting.
				time.Sleep(reconnectPause)
				continue
			}
			conn = &callerConn{Conn: opened, openedAt: time.Now()}
			conn.reader = bufio.NewReader(conn)
		}
		call := &wholeCall{
			callRecord: &callRecord{
				id: fmt.Sprintf("whole-%d-%d", number, index), path: fmt.Sprintf("/%s/%d", kind.route, index),
				repeatable: kind.repeatable, gatewayName: target.name,
			},
			route: kind.route, streams: kind.streams, timeout: kind.timeout, connectedAt: conn.openedAt, reused: conn.uses > 0,
		}
		if !p.send(conn, call, random) {
			conn.Close()
			conn = nil
		}
		time.Sleep(randomUpTo(random, pause))
		if call.status != http.StatusOK {
			time.Sleep(refusedPause)
		}
	}
}

// send sends the call, reads its answer and records the end. It returns whether the connection stays usable.
func (p *wholeCallerPool) send(conn *callerConn, call *wholeCall, random *rand.Rand) (usable bool) {
	call.key, call.tenant = p.soak.config.randomCurrentKey(random)
	length := random.IntN(200)
	if random.IntN(100) < largeBodyPercent {
		length = smallBodyLimit + 1 + random.IntN(smallBodyLimit)
	}
	call.body = strings.Repeat("b", length)
	text := call.format(random.IntN(100) < chunkedPercent, random.IntN(10))
	conn.uses++
	call.sentAt = time.Now()
	receivedBefore := conn.received
	p.soak.calls.add(call.callRecord)
	defer p.add(call)
	_ = conn.SetDeadline(call.sentAt.Add(call.timeout + answerSlack))
	_, err := io.WriteString(conn, text)
	if err == nil {
		call.sentWholeAt = time.Now()
	}
	// A gateway may refuse a call whose body it has not read.
	usable = p.readAnswer(conn, call)
	call.hasBytes = conn.received > receivedBefore
	if !call.answered && err != nil {
		call.end = "sending: " + err.Error()
	}
	p.soak.calls.recordEnd(call.callRecord, call.status, false)
	return usable && err == nil
}

// format returns the request as it is sent.
func (c *wholeCall) format(chunked bool, part int) string {
	var text strings.Builder
	fmt.Fprintf(&text, "POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n", c.path, hostName, c.key)
	fmt.Fprintf(&text, "%s: %s\r\n%s: %d\r\n", platform.HeaderRequestID, c.id, platform.HeaderDeadlineMillis, c.timeout.Milliseconds())
	if c.streams {
		fmt.Fprintf(&text, "%s: %s\r\n%s: cc%d:100,dd%s:20\r\n", platform.HeaderModel, longModel, platform.HeaderPromptPrefix, part, strings.ReplaceAll(strings.TrimPrefix(c.id, "whole-"), "-", "0"))
	}
	if chunked && c.body != "" {
		fmt.Fprintf(&text, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(c.body), c.body)
		return text.String()
	}
	fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", len(c.body), c.body)
	return text.String()
}

// readAnswer reads the answer of the call and returns whether the connection stays usable.
func (p *wholeCallerPool) readAnswer(conn *callerConn, call *wholeCall) (usable bool) {
	response, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		call.end = "head: " + describeEnd(err)
		return false
	}
	defer response.Body.Close()
	call.status, call.stamped = response.StatusCode, response.Header.Get(platform.HeaderResponseStamp) != ""
	body, err := io.ReadAll(response.Body)
	if err != nil {
		call.end = fmt.Sprintf("body after %d bytes: %s", len(body), describeEnd(err))
		return false
	}
	call.answered = true
	if call.status == http.StatusOK {
		p.checkAnswer(call, response.Header, string(body))
	}
	return !response.Close
}

// describeEnd returns how a connection ended.
func describeEnd(err error) string {
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return "no end within the time of the caller"
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		return "closed"
	}
	return err.Error()
}

// checkAnswer checks that a successful answer belongs to the call and is the whole answer of a runner.
func (p *wholeCallerPool) checkAnswer(call *wholeCall, header http.Header, body string) {
	if header.Get(platform.HeaderRequestID) != call.id || !call.stamped {
		p.soak.failf("own answer: %s got the response headers of %q", call.id, header.Get(platform.HeaderRequestID))
	}
	want := "answer to " + call.id
	if call.streams {
		want = expectedEvents(longStreamEvents)
	}
	if body != want {
		p.soak.failf("whole answer: %s (%s) got %q", call.id, call.path, body)
	}
}
