package gateway

import (
	"context"
	"time"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/coldstart"
	"github.com/clovertiller/clovertiller/internal/rolloutdriver"
	"github.com/clovertiller/clovertiller/internal/storerev"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// rolloutPorts implements the interfaces through which the driver of rollouts uses the router.
type rolloutPorts struct{ gateway *Gateway }

func newRolloutDriver(g *Gateway) *rolloutdriver.Driver {
	ports := &rolloutPorts{gateway: g}
	config := rolloutdriver.Config{
		Node: g.settings.Node, Incarnation: uint64(g.startedAt.UnixMilli()), MaxShare: g.settings.ExposedShare, Slack: g.settings.ExposedSlack,
	}
	return rolloutdriver.New(config, rolloutdriver.Ports{
		Runners: ports, Services: ports, Schedulers: ports, Peers: ports, Store: ports, Log: g.log, Clock: g.ports.Clock, Spawn: g.spawn,
	})
}

// VersionCounts implements rolloutdriver.Runners.
func (p *rolloutPorts) VersionCounts(service string) map[string]int {
	p.gateway.mutex.Lock()
	defer p.gateway.mutex.Unlock()
	return p.gateway.runners.VersionCounts(service)
}

// VersionLoad implements rolloutdriver.Runners.
func (p *rolloutPorts) VersionLoad(service, version string) backend.VersionLoad {
	p.gateway.mutex.Lock()
	defer p.gateway.mutex.Unlock()
	return p.gateway.runners.VersionLoad(p.gateway.now(), service, version)
}

// IsListComplete implements rolloutdriver.Runners.
func (p *rolloutPorts) IsListComplete() bool {
	return p.gateway.startup.has(coldstart.DirectoryComplete)
}

// IsListCurrent implements rolloutdriver.Runners.
func (p *rolloutPorts) IsListCurrent() bool { return p.gateway.hasRecentDirectory() }

// SetVersionRules implements rolloutdriver.Runners.
func (p *rolloutPorts) SetVersionRules(rules map[string]backend.VersionRule, exposedShare float64) {
	p.gateway.mutex.Lock()
	defer p.gateway.mutex.Unlock()
	p.gateway.runners.SetVersionRules(rules, exposedShare)
}

// ServiceNames implements rolloutdriver.Services.
func (p *rolloutPorts) ServiceNames() (names []string, configured bool) {
	current := p.gateway.activeConfig.Load()
	if current == nil {
		return nil, false
	}
	return current.table.ServiceNames(), true
}

// IsPlacer implements rolloutdriver.Schedulers.
func (p *rolloutPorts) IsPlacer() bool {
	return p.gateway.peerRouters.transport == nil || p.gateway.schedulers.isScheduler()
}

// OtherSchedulers implements rolloutdriver.Schedulers.
func (p *rolloutPorts) OtherSchedulers() []string { return p.gateway.schedulers.otherSchedulers() }

// SelfAddress implements rolloutdriver.Schedulers.
func (p *rolloutPorts) SelfAddress() string { return p.gateway.settings.PeerAddress }

// CallPeer implements rolloutdriver.Peers.
func (p *rolloutPorts) CallPeer(ctx context.Context, address string, message *wire.Envelope) (*wire.Envelope, error) {
	return p.gateway.peerRouters.transport.Call(ctx, "", address, message)
}

// WriteRolloutStatus implements rolloutdriver.Store.
func (p *rolloutPorts) WriteRolloutStatus(ctx context.Context, name string, rollout rolloutdriver.StoredRollout, revision storerev.Revision) (storerev.Revision, error) {
	sentAt := p.gateway.now()
	written, err := p.gateway.ports.Store.WriteRolloutStatus(ctx, name, rollout, revision)
	p.gateway.metrics.observeStoreCall(RolloutObjects.String(), callWrite, p.gateway.since(sentAt))
	return written, err
}

// LatestBefore implements rolloutdriver.Store.
func (p *rolloutPorts) LatestBefore(revision storerev.Revision) time.Time {
	return p.gateway.copies.checkpoints.latestBefore(revision)
}

// listedNames returns the names of the objects that are not deleted.
func listedNames(objects []v1.Object) (names []string) {
	for _, object := range objects {
		if !object.Deleted {
			names = append(names, object.Name)
		}
	}
	return names
}
