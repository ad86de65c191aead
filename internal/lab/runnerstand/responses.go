package runnerstand

import (
	"cmp"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/clovertiller/clovertiller/platform"
)

// writeBody writes a response that is not a stream. TruncatesResponse breaks the connection after
// the first bytes of it.
func (r *Runner) writeBody(writer http.ResponseWriter, behaviour Behaviour, run Run) {
	text := r.pad("answer to " + run.RequestID)
	if r.writesOwnFraming() {
		if body, connected := r.hijack(writer, len(text)); connected {
			body.writeText(text)
		}
		return
	}
	writer.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if behaviour == TruncatesResponse {
		fmt.Fprint(writer, text[:4])
		_ = http.NewResponseController(writer).Flush()
		panic(http.ErrAbortHandler)
	}
	fmt.Fprint(writer, text)
}

// pad returns the text with the length of Config.BodyBytes, or unchanged if that is shorter.
func (r *Runner) pad(text string) string {
	return text + strings.Repeat(".", max(r.BodyBytes-len(text), 0))
}

// formatEvent returns the server-sent event with the id.
func formatEvent(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }

// newEvent returns the event of the runner with the id.
func (r *Runner) newEvent(id int) string {
	if !r.VersionInEvents {
		return formatEvent(id)
	}
	return fmt.Sprintf("id: %d\ndata: piece %d %s\n\n", id, id, cmp.Or(r.SoftwareVersion, DefaultSoftwareVersion))
}

// writeStream sends the events after the last one that the gateway received. If the gateway names a
// backup runner, that runner gets a KV copy of the run. TruncatesResponse breaks the connection in
// the middle of the second event that is sent.
func (r *Runner) writeStream(writer http.ResponseWriter, request *http.Request, behaviour Behaviour) {
	if backup := request.Header.Get(platform.HeaderKVBackup); backup != "" && r.FindPeer != nil {
		if peer := r.FindPeer(backup); peer != nil {
			peer.storeKVCopy(request.Header.Get(platform.HeaderRequestID))
		}
	}
	lastReceived, _ := strconv.Atoi(request.Header.Get(platform.HeaderLastEventID))
	writer.Header().Set("Content-Type", "text/event-stream")
	writeEvent, end := r.beginStream(writer)
	defer end()
	for id := lastReceived + 1; id <= r.EventCount; id++ {
		time.Sleep(r.EventInterval)
		event := r.newEvent(id)
		if behaviour == TruncatesResponse && id == lastReceived+2 {
			fmt.Fprint(writer, strings.TrimSuffix(event, "iece "+strconv.Itoa(id)+"\n\n"))
			_ = http.NewResponseController(writer).Flush()
			panic(http.ErrAbortHandler)
		}
		if !writeEvent(event) {
			return
		}
		switch behaviour {
		case Terminates:
			r.Close()
			panic(http.ErrAbortHandler)
		case StopsResponding:
			r.listener.Close()
			<-request.Context().Done()
			return
		case Pauses:
			if id == lastReceived+1 {
				r.pauseStream(request)
			}
		}
	}
}

// beginStream returns functions that write the events of a stream and that end it. writeEvent returns false once
// the stream has ended.
func (r *Runner) beginStream(writer http.ResponseWriter) (writeEvent func(event string) bool, end func()) {
	if r.writesOwnFraming() {
		body, connected := r.hijack(writer, -1)
		if !connected {
			return func(string) bool { return false }, func() {}
		}
		return body.writeEvent, func() { body.end(EndsWithLastChunk) }
	}
	writeEvent = func(event string) bool {
		fmt.Fprint(writer, event)
		return http.NewResponseController(writer).Flush() == nil
	}
	return writeEvent, func() {}
}
