package gateway

import (
	"encoding/json"
	"net/http"

	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/storerev"
)

// StatusPath is the path of the status, beside the counters.
const StatusPath = "/status"

// Status is what a router believes at one moment, for operators.
type Status struct {
	Node     string `json:"node"`
	Zone     string `json:"zone"`
	Draining bool   `json:"draining"`
	// ConfigVersion and ConfigRevision are those in force, 0 without one.
	ConfigVersion  uint64 `json:"configVersion"`
	ConfigRevision uint64 `json:"configRevision"`
	// StoreEra is the newest era of the store that the router knows of, 0 before any.
	StoreEra uint64 `json:"storeEra"`
	// ProofAgeMillis is the age of the proof of the configuration, -1 without one.
	ProofAgeMillis int64 `json:"proofAgeMillis"`
	// Proven tells whether requests with a key are served.
	Proven bool `json:"proven"`
	// DirectoryRevision is the revision of the list of runners.
	DirectoryRevision uint64 `json:"directoryRevision"`
	// ReadsStore tells whether the router reads the store itself; otherwise
	// Source is the router that it learned from last, if any.
	ReadsStore bool   `json:"readsStore"`
	Source     string `json:"source,omitempty"`
	// LeaseToken is the fencing token while this router orders runners, or 0.
	LeaseToken uint64                  `json:"leaseToken"`
	Weights    map[string]uint64       `json:"weights"`
	Runners    []backend.RunnerSummary `json:"runners"`
	// BeyondShare are the tenants farthest beyond their fair shares of short services,
	// as far as this router knows; routers that place no requests know of none.
	BeyondShare []BeyondShare `json:"beyondShare,omitempty"`
	// Quarantined are the contents that are not sent, at most mostQuarantined of them.
	Quarantined []QuarantinedContent `json:"quarantined,omitempty"`
}

// mostQuarantined bounds the contents in the status.
const mostQuarantined = 20

// QuarantinedContent is a content that is not sent any more.
type QuarantinedContent struct {
	Content string `json:"content"`
	Tenant  string `json:"tenant"`
	// Runners are those that ended under it, and LeftMillis the rest of the quarantine.
	Runners    []string `json:"runners"`
	LeftMillis int64    `json:"leftMillis"`
}

// Status returns what the router believes now.
func (g *Gateway) Status() Status {
	now := g.now()
	status := Status{
		Node: g.settings.Node, Zone: g.settings.Zone, Draining: g.draining.Load(), ProofAgeMillis: -1,
		Proven: g.proven(now), DirectoryRevision: storerev.Revision(g.directoryRevision.Load()).Number(), StoreEra: g.era.newest(), ReadsStore: g.direct.isEnabled(),
		LeaseToken: g.leaseToken.Load(),
	}
	if current := g.view.Load(); current != nil {
		status.ConfigVersion, status.ConfigRevision = current.table.Version, current.revision.Number()
		if !current.provenAt.IsZero() {
			status.ProofAgeMillis = now.Sub(current.provenAt).Milliseconds()
		}
	}
	if !status.ReadsStore {
		status.Source = g.relays.lastSource()
	}
	status.Quarantined = g.suspects.summary(now)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	status.Weights = g.runners.WeightTargets().Targets()
	status.Runners = g.runners.Summaries(now)
	status.BeyondShare = g.shares.summary(now)
	return status
}

func (g *Gateway) serveStatus(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "application/json")
	// A reader that has gone is no fault of the router's.
	_ = json.NewEncoder(writer).Encode(g.Status())
}
