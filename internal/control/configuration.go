package control

import (
	"time"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/config"
	"github.com/clovertiller/clovertiller/internal/fleet"
	"github.com/clovertiller/clovertiller/internal/storerev"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// ApplyFromPlatform applies a full list or a batch of changes that was read from the platform.
func (c *Core) ApplyFromPlatform(now time.Time, delta config.Delta) config.Outcome {
	return c.applyDelta(now, delta, "")
}

// applyDelta applies a delta from a peer, or from the platform if from is "". It forwards new
// changes to other peers and requests missing ones from the sender.
func (c *Core) applyDelta(now time.Time, delta config.Delta, from string) config.Outcome {
	previousRevision := c.store.Revision()
	outcome := c.store.Apply(delta)
	switch outcome {
	case config.Applied:
		c.members.SetRevision(uint64(c.store.Revision()))
		c.ready.ConfigChanged = true
		c.removeUnconfiguredRunners()
		c.forwardChanges(previousRevision, from)
	case config.Gap:
		if address, found := c.NodeAddress(from); found {
			c.pullConfig(now, from, address)
		}
	}
	return outcome
}

// forwardChanges sends the changes after the previous revision to up to ConfigFanout random peers of
// the zone that have not reported the current revision yet. Peers that miss them learn of the new
// revision by heartbeats and request it.
func (c *Core) forwardChanges(previousRevision storerev.Revision, from string) {
	if previousRevision == 0 {
		// The first full copy after a start is not a change, so it is not forwarded.
		return
	}
	peers := c.members.PeersInZone()
	c.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	envelope := deltaEnvelope(c.store.Since(previousRevision))
	sent := 0
	for _, peer := range peers {
		if peer.ID == from || storerev.Revision(peer.Revision) >= c.store.Revision() {
			continue
		}
		if sent == c.settings.ConfigFanout {
			return
		}
		sent++
		c.sendTo(peer, envelope)
	}
}

// pullConfig requests the changes after the current revision from a node, unless another request was
// sent within MinPullInterval.
func (c *Core) pullConfig(now time.Time, node, address string) {
	if now.Before(c.nextPull) {
		return
	}
	c.nextPull = now.Add(c.settings.MinPullInterval)
	pull := &wire.ConfigPull{FromRevision: uint64(c.store.Revision())}
	c.send(node, address, &wire.Envelope{Body: &wire.Envelope_ConfigPull{ConfigPull: pull}})
}

// answerConfigPull sends the changes after the revision to the node that requested them. It sends
// nothing if there are none or if the node is not a known member.
func (c *Core) answerConfigPull(node string, revision storerev.Revision) {
	member, found := c.members.Member(node)
	if !found || revision >= c.store.Revision() {
		return
	}
	c.sendTo(member, deltaEnvelope(c.store.Since(revision)))
}

// removeUnconfiguredRunners removes the reports of runners that are no longer configured.
func (c *Core) removeUnconfiguredRunners() {
	var unconfigured []string
	c.fleet.ForEach(func(report fleet.Report) {
		if c.store.Version(v1.Key{Kind: v1.KindRunner, Name: report.Runner}) == 0 {
			unconfigured = append(unconfigured, report.Runner)
		}
	})
	for _, runner := range unconfigured {
		c.fleet.Remove(runner)
		delete(c.dirtyRunners, runner)
	}
}
