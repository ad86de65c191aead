package runnerstand

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/clovertiller/clovertiller/platform"
)

func (r *Runner) whole(writer http.ResponseWriter, behaviour Behaviour, run Run) {
	text := "answer to " + run.Request
	writer.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if behaviour == BreaksOff {
		fmt.Fprint(writer, text[:4])
		_ = http.NewResponseController(writer).Flush()
		panic(http.ErrAbortHandler)
	}
	fmt.Fprint(writer, text)
}

func eventText(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }

// stream sends events after the one that the caller has; BreaksOff ends it in
// the middle of the second event it sends.
func (r *Runner) stream(writer http.ResponseWriter, request *http.Request, behaviour Behaviour) {
	if backup := request.Header.Get(platform.HeaderKVBackup); backup != "" && r.Peer != nil {
		if peer := r.Peer(backup); peer != nil {
			peer.holdCopy(request.Header.Get(platform.HeaderRequestID))
		}
	}
	first, _ := strconv.Atoi(request.Header.Get(platform.HeaderLastEventID))
	writer.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(writer)
	for id := first + 1; id <= r.Events; id++ {
		time.Sleep(r.EventTime)
		event := eventText(id)
		if behaviour == BreaksOff && id == first+2 {
			fmt.Fprint(writer, strings.TrimSuffix(event, "iece "+strconv.Itoa(id)+"\n\n"))
			_ = control.Flush()
			panic(http.ErrAbortHandler)
		}
		fmt.Fprint(writer, event)
		if control.Flush() != nil {
			return
		}
		switch behaviour {
		case Dies:
			r.Close()
			panic(http.ErrAbortHandler)
		case FallsSilent:
			r.listener.Close()
			<-request.Context().Done()
			return
		case Pauses:
			if id == first+1 {
				r.pause(request)
			}
		}
	}
}
