package gateway

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/gravitational/trace"

	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/quarantine"
)

// LiftPath is the path, served next to the metrics, at which operators lift a quarantine.
const LiftPath = "/quarantines/lift"

// maxLiftBytes bounds the body of a request to lift a quarantine.
const maxLiftBytes = 4 << 10

// LiftRequest names what is to be sent to runners again, as the status lists it. Exactly one of Content
// and Part is set.
type LiftRequest struct {
	Tenant  string `json:"tenant"`
	Content string `json:"content,omitempty"`
	Part    string `json:"part,omitempty"`
}

// subject returns the subject that the request names.
func (r LiftRequest) subject() (quarantine.Subject, error) {
	switch {
	case (r.Content == "") == (r.Part == ""):
		return quarantine.Subject{}, trace.BadParameter("exactly one of content and part is needed")
	case r.Part != "":
		return quarantine.NewPart(r.Tenant, r.Part), nil
	}
	digest, err := strconv.ParseUint(r.Content, 16, 64)
	if err != nil {
		return quarantine.Subject{}, trace.BadParameter("content %q is no hexadecimal digest", r.Content)
	}
	return quarantine.Subject{Tenant: r.Tenant, Digest: digest}, nil
}

// errNotSuspected is returned for a subject without recorded crashes.
var errNotSuspected = errors.New("no crashes are recorded for it")

// LiftQuarantine drops all crashes that are recorded for the subject, here and, as far as they can be
// reached, at all other routers and in the store.
func (g *Gateway) LiftQuarantine(request LiftRequest) error {
	subject, err := request.subject()
	if err != nil {
		return err
	}
	if !g.suspects.lift(subject) {
		return errNotSuspected
	}
	g.metrics.liftedQuarantines.Inc()
	g.log.Log(events.QuarantineLiftedByOperator, events.Fields{subjectKind(subject): subject.String(), "tenant": subject.Tenant})
	return nil
}

// serveLift serves LiftPath.
func (g *Gateway) serveLift(writer http.ResponseWriter, request *http.Request) {
	if request.Method != http.MethodPost {
		http.Error(writer, "only POST is allowed", http.StatusMethodNotAllowed)
		return
	}
	var lift LiftRequest
	if err := json.NewDecoder(io.LimitReader(request.Body, maxLiftBytes)).Decode(&lift); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	switch err := g.LiftQuarantine(lift); {
	case errors.Is(err, errNotSuspected):
		http.Error(writer, err.Error(), http.StatusNotFound)
	case err != nil:
		http.Error(writer, err.Error(), http.StatusBadRequest)
	default:
		writer.WriteHeader(http.StatusNoContent)
	}
}
