package control

import (
	"time"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/config"
	"github.com/clovertiller/clovertiller/internal/fleet"
	"github.com/clovertiller/clovertiller/internal/storerev"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// ---- configuration ----

// ApplyFromPlatform takes a list or a batch of changes read from the platform.
func (c *Core) ApplyFromPlatform(now time.Time, delta config.Delta) config.Outcome {
	return c.applyDelta(now, delta, "")
}

func (c *Core) applyDelta(now time.Time, delta config.Delta, from string) config.Outcome {
	before := c.store.Revision()
	outcome := c.store.Apply(delta)
	switch outcome {
	case config.Applied:
		c.members.SetRevision(uint64(c.store.Revision()))
		c.ready.ConfigChanged = true
		c.forgetRunners()
		c.passOn(before, from)
	case config.Gap:
		if address, found := c.Address(from); found {
			c.pull(now, from, address)
		}
	}
	return outcome
}

// passOn gives a change to a few random peers of the zone, once; heartbeats
// repair what this misses.
func (c *Core) passOn(before storerev.Revision, from string) {
	if before == 0 {
		// A first full copy is nobody else's news.
		return
	}
	peers := c.members.PeersInZone()
	c.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	envelope := deltaEnvelope(c.store.Since(before))
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

func (c *Core) pull(now time.Time, node, address string) {
	if now.Before(c.nextPull) {
		return
	}
	c.nextPull = now.Add(c.settings.PullInterval)
	pull := &wire.ConfigPull{FromRevision: uint64(c.store.Revision())}
	c.send(node, address, &wire.Envelope{Body: &wire.Envelope_ConfigPull{ConfigPull: pull}})
}

func (c *Core) answerPull(node string, revision storerev.Revision) {
	member, found := c.members.Member(node)
	if !found || revision >= c.store.Revision() {
		return
	}
	c.sendTo(member, deltaEnvelope(c.store.Since(revision)))
}

// forgetRunners drops the reports of runners that are no longer configured.
func (c *Core) forgetRunners() {
	var gone []string
	c.fleet.ForEach(func(report fleet.Report) {
		if c.store.Version(v1.Key{Kind: v1.KindRunner, Name: report.Runner}) == 0 {
			gone = append(gone, report.Runner)
		}
	})
	for _, runner := range gone {
		c.fleet.Remove(runner)
		delete(c.dirty, runner)
	}
}
