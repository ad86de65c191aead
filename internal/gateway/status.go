package gateway

import (
	"encoding/json"
	"net/http"

	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/rolloutdriver"
	"github.com/clovertiller/clovertiller/internal/storerev"
)

// StatusPath is the path of the status, served next to the metrics.
const StatusPath = "/status"

// Status is a snapshot of a router's state, for operators.
type Status struct {
	Node string `json:"node"`
	Zone string `json:"zone"`
	// Region is empty if the settings name fewer than two regions.
	Region   string `json:"region,omitempty"`
	Draining bool   `json:"draining"`
	// ConfigVersion and ConfigRevision are those of the active configuration, 0 if there is none.
	ConfigVersion  uint64 `json:"configVersion"`
	ConfigRevision uint64 `json:"configRevision"`
	// StoreEra is the newest known era of the store, 0 if none is known.
	StoreEra uint64 `json:"storeEra"`
	// ProofAgeMillis is the time since the active configuration was last proven, -1 if it never
	// was.
	ProofAgeMillis int64 `json:"proofAgeMillis"`
	// Proven is set if the proof is recent enough to serve requests with an API key.
	Proven bool `json:"proven"`
	// DirectoryRevision is the revision of the directory of runners.
	DirectoryRevision uint64 `json:"directoryRevision"`
	// ReadsStore is set if the router reads the store itself. Otherwise, Source is the router
	// from which it last received changes, if any.
	ReadsStore bool   `json:"readsStore"`
	Source     string `json:"source,omitempty"`
	// LeaseToken is the fencing token while this router holds the lease on ordering runners,
	// otherwise 0.
	LeaseToken uint64                  `json:"leaseToken"`
	Weights    map[string]uint64       `json:"weights"`
	Runners    []backend.RunnerSummary `json:"runners"`
	// Schedulers are the schedulers of the own region in the order in which this router asks them.
	Schedulers []SchedulerStatus `json:"schedulers,omitempty"`
	// SchedulersByRegion is the number of schedulers of each region as this seed knows them.
	SchedulersByRegion map[string]int `json:"schedulersByRegion,omitempty"`
	// TenantExcesses lists the known tenants that exceed their fair shares of overloaded services
	// the most. It is empty on routers that place no requests.
	TenantExcesses []TenantExcess `json:"beyondShare,omitempty"`
	// Rollouts are the services that are being moved to another software version, or were.
	Rollouts []rolloutdriver.Summary `json:"rollouts,omitempty"`
	// ImpairedPaths are the services whose runners this router cannot reach, or only over open
	// connections, and EgressRouters the routers to which it then forwards calls.
	ImpairedPaths []PathStatus   `json:"impairedPaths,omitempty"`
	EgressRouters []EgressRouter `json:"egressRouters,omitempty"`
	// ForwardedOpen is the number of calls of other routers that this router is serving.
	ForwardedOpen int64 `json:"forwardedOpen,omitempty"`
	// Streams is what the router knows of the software versions at which streams began.
	Streams StreamsStatus `json:"streams"`
	// Start holds the stages that the router has reached since its start.
	Start []StartStage `json:"start"`
	// Quarantined lists up to maxQuarantinedInStatus quarantined contents.
	Quarantined []QuarantinedContent `json:"quarantined,omitempty"`
}

// StreamsStatus is what a router knows of the software versions at which streams began.
type StreamsStatus struct {
	Records int    `json:"records"`
	Dropped uint64 `json:"dropped,omitempty"`
	// Replica is set if the router keeps records for others, and Complete if it then lacks none.
	Replica  bool `json:"replica"`
	Complete bool `json:"complete"`
	// Mixed are the services of which several versions serve or served lately.
	Mixed []string `json:"mixed,omitempty"`
}

// PathStatus is the state of the links to the runners of one service.
type PathStatus struct {
	Service string `json:"service"`
	State   string `json:"state"`
	// ForMillis is the time since the links are in this state.
	ForMillis int64 `json:"forMillis"`
}

// EgressRouter is a router to which this one forwards calls when it cannot reach the runners.
type EgressRouter struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Unserved are the services for which it accepts none.
	Unserved []string `json:"unserved,omitempty"`
}

// maxQuarantinedInStatus bounds the number of quarantined contents in the status.
const maxQuarantinedInStatus = 20

// QuarantinedContent is a request content, or a prompt part, that is no longer sent to runners.
type QuarantinedContent struct {
	// Content is empty for a prompt part, and Part for a content.
	Content string `json:"content,omitempty"`
	Part    string `json:"part,omitempty"`
	Tenant  string `json:"tenant"`
	// Runners are the runners that crashed while running it, and RemainingMillis the
	// remaining time of the quarantine.
	Runners         []string `json:"runners"`
	RemainingMillis int64    `json:"leftMillis"`
}

// Status returns the current state of the router.
func (g *Gateway) Status() Status {
	now := g.now()
	status := Status{
		Node: g.settings.Node, Zone: g.settings.Zone, Region: g.regionName(), Draining: g.draining.Load(), ProofAgeMillis: -1,
		Proven: g.configIsProven(now), DirectoryRevision: storerev.Revision(g.directoryRevision.Load()).Number(), StoreEra: g.eraTracker.newest(), ReadsStore: g.directReads.isEnabled(),
		LeaseToken: g.leaseToken.Load(),
	}
	if current := g.activeConfig.Load(); current != nil {
		status.ConfigVersion, status.ConfigRevision = current.table.Version, current.revision.Number()
		if !current.provenAt.IsZero() {
			status.ProofAgeMillis = now.Sub(current.provenAt).Milliseconds()
		}
	}
	if !status.ReadsStore {
		status.Source = g.peerRouters.lastSource()
	}
	status.Schedulers, status.SchedulersByRegion = g.schedulers.summary(now), g.peerRouters.countSchedulersByRegion()
	status.Start = g.startup.summary()
	status.Quarantined = g.suspects.summary(now)
	status.ImpairedPaths = g.paths.summary(now)
	status.EgressRouters, status.ForwardedOpen = g.egress.summary()
	status.Streams = g.streams.summary(now)
	status.Rollouts = g.rolloutDriver.Summaries(now)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	status.Weights = g.runners.WeightTargets().Targets()
	status.Runners = g.runners.Summaries(now)
	status.TenantExcesses = g.fairShares.summary(now)
	return status
}

func (g *Gateway) serveStatus(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "application/json")
	// The client may have disconnected, which is no error of the router.
	_ = json.NewEncoder(writer).Encode(g.Status())
}
