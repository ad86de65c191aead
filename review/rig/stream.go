package rig

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/clovertiller/clovertiller/platform"
)

// Event is one event of a stream as a caller received it.
type Event struct {
	ID int
	// Data is the text of the event.
	Data string
}

// Attempt is one attempt of a caller to get a stream or the rest of it.
type Attempt struct {
	ID        string
	Router    *Router
	SentAt    time.Time
	Status    int
	Events    []Event
	Complete  bool
	Err       error
	RetryWait time.Duration
}

// StreamRequest is what a caller asks for.
type StreamRequest struct {
	ID, Resumes string
	// LastEvent is the last event that the caller has, 0 for none.
	LastEvent int
	Prompt    string
	Tokens    string
	Timeout   time.Duration
	Body      string
}

// Send sends the request to the router over a new connection and reads the stream to its end. onEvent is called for each event.
func (r StreamRequest) Send(ctx context.Context, router *Router, onEvent func(Event)) *Attempt {
	attempt := &Attempt{ID: r.ID, Router: router, SentAt: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	dialer := net.Dialer{Timeout: time.Second}
	connection, err := dialer.DialContext(ctx, "tcp", router.Front)
	if err != nil {
		attempt.Err = err
		return attempt
	}
	defer connection.Close()
	stop := context.AfterFunc(ctx, func() { connection.Close() })
	defer stop()
	var head strings.Builder
	fmt.Fprintf(&head, "POST /stream/a HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n",
		Host, platform.HeaderRequestID, r.ID, platform.HeaderModel, Model, platform.HeaderTokenCounts, r.Tokens,
		platform.HeaderPromptPrefix, r.Prompt, platform.HeaderDeadlineMillis, r.Timeout.Milliseconds(), Key, len(r.Body))
	if r.LastEvent > 0 {
		fmt.Fprintf(&head, "%s: %d\r\n%s: %s\r\n", platform.HeaderLastEventID, r.LastEvent, platform.HeaderResumes, r.Resumes)
	}
	head.WriteString("\r\n" + r.Body)
	if _, err := connection.Write([]byte(head.String())); err != nil {
		attempt.Err = err
		return attempt
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		attempt.Err = err
		return attempt
	}
	attempt.Status = response.StatusCode
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		attempt.RetryWait = time.Duration(seconds * float64(time.Second))
	}
	if response.StatusCode != http.StatusOK {
		attempt.Err = fmt.Errorf("status %d", response.StatusCode)
		return attempt
	}
	attempt.Err = attempt.readEvents(bufio.NewReader(response.Body), onEvent)
	attempt.Complete = attempt.Err == nil
	return attempt
}

var errInsideEvent = errors.New("the stream ended inside an event")

// readEvents reads whole events until the end of the stream.
func (a *Attempt) readEvents(reader *bufio.Reader, onEvent func(Event)) error {
	var current Event
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			if err.Error() == "EOF" && line == "" && current == (Event{}) {
				return nil
			}
			return errors.Join(errInsideEvent, err)
		}
		line = strings.TrimSuffix(line, "\n")
		name, value, _ := strings.Cut(line, ": ")
		switch {
		case line == "":
			a.Events = append(a.Events, current)
			if onEvent != nil {
				onEvent(current)
			}
			current = Event{}
		case name == "id":
			current.ID, _ = strconv.Atoi(value)
		case name == "data":
			current.Data = value
		}
	}
}

// WriteStream writes the events after the last one that the request names, one each interval, up to the given one. The data of
// each tells the runner's software version.
func WriteStream(r *Runner, writer http.ResponseWriter, request *http.Request, last int, interval time.Duration) {
	have, _ := strconv.Atoi(request.Header.Get(platform.HeaderLastEventID))
	writer.Header().Set("Content-Type", "text/event-stream")
	for id := have + 1; id <= last; id++ {
		select {
		case <-time.After(interval):
		case <-request.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s %s\n\n", id, r.Software, r.ID); err != nil {
			return
		}
		if http.NewResponseController(writer).Flush() != nil {
			return
		}
	}
}
