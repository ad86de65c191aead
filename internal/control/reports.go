package control

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/fleet"
	"github.com/clovertiller/clovertiller/internal/membership"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// ---- runner reports ----

// ObserveRunner takes what this node, as the runner's home, saw of it. A change
// of duty is reported at once, a change of load within the byte budget.
func (c *Core) ObserveRunner(now time.Time, report fleet.Report) {
	report.Sequence = uint64(now.UnixMilli())
	if known, found := c.fleet.Get(report.Runner); found && known.Incarnation == report.Incarnation {
		report.Sequence = max(report.Sequence, known.Sequence+1)
	}
	report.Load.MeasuredAt = loadAsOf(report.Sequence)
	change := c.applyReport(report)
	switch change {
	case fleet.ChangeIncarnation, fleet.ChangeStatus:
		c.broadcast([]fleet.Report{report})
	case fleet.ChangeLoad:
		c.dirty[report.Runner] = true
	}
}

func (c *Core) applyReport(report fleet.Report) fleet.Change {
	change := c.fleet.Apply(report)
	if change == fleet.ChangeIncarnation {
		c.ready.NewIncarnations = append(c.ready.NewIncarnations, report)
	}
	return change
}

func reportsEnvelope(reports []fleet.Report) *wire.Envelope {
	converted := &wire.RunnerReports{}
	for _, report := range reports {
		converted.Reports = append(converted.Reports, reportToWire(report))
	}
	return &wire.Envelope{Body: &wire.Envelope_RunnerReports{RunnerReports: converted}}
}

// reportPeers returns the other nodes of the region that runners are reported to.
func (c *Core) reportPeers() []membership.Member {
	self := c.members.Self().ID
	var peers []membership.Member
	for _, id := range c.usable {
		if member, found := c.members.Member(id); found && id != self {
			peers = append(peers, member)
		}
	}
	return peers
}

func (c *Core) broadcast(reports []fleet.Report) {
	envelope := reportsEnvelope(reports)
	for _, peer := range c.reportPeers() {
		c.sendTo(peer, envelope)
	}
}

// reportBytes is the assumed size of one report on the wire.
const reportBytes = 64

func (c *Core) earnLoadBytes(now time.Time) {
	if !c.lastTick.IsZero() {
		c.loadTokens += now.Sub(c.lastTick).Seconds() * float64(c.settings.LoadBytesPerSecond)
		c.loadTokens = min(c.loadTokens, float64(c.settings.LoadBytesPerSecond))
	}
	c.lastTick = now
}

// reportLoads sends the changed loads as far as the byte budget allows.
func (c *Core) reportLoads() {
	if len(c.dirty) == 0 {
		return
	}
	peers := c.reportPeers()
	if c.settings.ReportPeers > 0 && len(peers) > c.settings.ReportPeers {
		c.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		peers = peers[:c.settings.ReportPeers]
	}
	cost := float64(reportBytes * max(len(peers), 1))
	var reports []fleet.Report
	for runner := range c.dirty {
		if c.loadTokens < cost {
			break
		}
		c.loadTokens -= cost
		delete(c.dirty, runner)
		if report, found := c.fleet.Get(runner); found {
			reports = append(reports, report)
		}
	}
	if len(reports) == 0 {
		return
	}
	envelope := reportsEnvelope(reports)
	for _, peer := range peers {
		c.sendTo(peer, envelope)
	}
}

// ownReports returns the reports of the runners whose home this node is.
func (c *Core) ownReports() []fleet.Report {
	self := c.members.Self().ID
	var reports []fleet.Report
	c.fleet.ForEach(func(report fleet.Report) {
		zone := ""
		if spec, found := c.store.Runner(report.Runner); found {
			zone = spec.Zone
		}
		if c.HomeOf(report.Runner, zone) == self {
			reports = append(reports, report)
		}
	})
	return reports
}

func (c *Core) markOwnDirty() {
	for _, report := range c.ownReports() {
		c.dirty[report.Runner] = true
	}
}

// tellJoined sends this node's runners to the nodes that joined since the last tick.
func (c *Core) tellJoined() {
	if len(c.joined) == 0 {
		return
	}
	joined := c.joined
	c.joined = nil
	reports := c.ownReports()
	if len(reports) == 0 {
		return
	}
	envelope := reportsEnvelope(reports)
	for _, member := range joined {
		c.sendTo(member, envelope)
	}
}

func (c *Core) sendFleet(node string) {
	member, found := c.members.Member(node)
	if !found || c.fleet.Len() == 0 {
		return
	}
	var reports []fleet.Report
	c.fleet.ForEach(func(report fleet.Report) { reports = append(reports, report) })
	c.sendTo(member, reportsEnvelope(reports))
}
