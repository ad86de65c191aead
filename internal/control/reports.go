package control

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/fleet"
	"github.com/clovertiller/clovertiller/internal/membership"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// ObserveRunner stores a report that this node made as the runner's home, and sets its sequence. A
// change of status is sent to the region at once, a change of load within the byte budget.
func (c *Core) ObserveRunner(now time.Time, report fleet.Report) {
	report.Sequence = uint64(now.UnixMilli())
	if previous, found := c.fleet.Get(report.Runner); found && previous.Incarnation == report.Incarnation {
		report.Sequence = max(report.Sequence, previous.Sequence+1)
	}
	report.Load.MeasuredAt = loadMeasuredAt(report.Sequence)
	change := c.applyReport(report)
	switch change {
	case fleet.ChangeIncarnation, fleet.ChangeStatus:
		c.broadcast([]fleet.Report{report})
	case fleet.ChangeLoad:
		c.dirtyRunners[report.Runner] = true
	}
}

// applyReport stores a report of this or another node.
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

// otherUsableNodes returns the usable nodes of the region without this one.
func (c *Core) otherUsableNodes() []membership.Member {
	self := c.members.Self().ID
	var peers []membership.Member
	for _, id := range c.usableNodes {
		if member, found := c.members.Member(id); found && id != self {
			peers = append(peers, member)
		}
	}
	return peers
}

// broadcast sends reports to all usable nodes of the region, regardless of the byte budget.
func (c *Core) broadcast(reports []fleet.Report) {
	envelope := reportsEnvelope(reports)
	for _, peer := range c.otherUsableNodes() {
		c.sendTo(peer, envelope)
	}
}

// assumedReportBytes is the assumed size of one report on the wire.
const assumedReportBytes = 64

// refillLoadByteBudget adds the bytes for the time since the last tick to the token bucket, which
// holds at most those of one second.
func (c *Core) refillLoadByteBudget(now time.Time) {
	if !c.lastTick.IsZero() {
		c.loadByteBudget += now.Sub(c.lastTick).Seconds() * float64(c.settings.MaxLoadBytesPerSecond)
		c.loadByteBudget = min(c.loadByteBudget, float64(c.settings.MaxLoadBytesPerSecond))
	}
	c.lastTick = now
}

// reportLoads sends the reports of dirty runners as far as the byte budget allows. The others stay
// dirty.
func (c *Core) reportLoads() {
	if len(c.dirtyRunners) == 0 {
		return
	}
	peers := c.otherUsableNodes()
	if c.settings.MaxLoadReportPeers > 0 && len(peers) > c.settings.MaxLoadReportPeers {
		c.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		peers = peers[:c.settings.MaxLoadReportPeers]
	}
	cost := float64(assumedReportBytes * max(len(peers), 1))
	var reports []fleet.Report
	for runner := range c.dirtyRunners {
		if c.loadByteBudget < cost {
			break
		}
		c.loadByteBudget -= cost
		delete(c.dirtyRunners, runner)
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
		if c.RunnerHome(report.Runner, zone) == self {
			reports = append(reports, report)
		}
	})
	return reports
}

// markOwnRunnersDirty marks all runners whose home this node is, so that their reports are sent again.
func (c *Core) markOwnRunnersDirty() {
	for _, report := range c.ownReports() {
		c.dirtyRunners[report.Runner] = true
	}
}

// sendReportsToJoined sends the reports of this node's runners to the nodes that joined since the
// last tick.
func (c *Core) sendReportsToJoined() {
	if len(c.joinedMembers) == 0 {
		return
	}
	joined := c.joinedMembers
	c.joinedMembers = nil
	reports := c.ownReports()
	if len(reports) == 0 {
		return
	}
	envelope := reportsEnvelope(reports)
	for _, member := range joined {
		c.sendTo(member, envelope)
	}
}

// answerFleetPull sends all known runner reports to the node that requested them.
func (c *Core) answerFleetPull(node string) {
	member, found := c.members.Member(node)
	if !found || c.fleet.Len() == 0 {
		return
	}
	var reports []fleet.Report
	c.fleet.ForEach(func(report fleet.Report) { reports = append(reports, report) })
	c.sendTo(member, reportsEnvelope(reports))
}
