package gateway

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/clovertiller/clovertiller/internal/wire"
)

const (
	// firstAnswerCPU is the processor time of an answer to a router without data, on a whole core.
	firstAnswerCPU = 300 * time.Microsecond
	// firstAnswerLinkShare is the share of the link that such answers may use.
	firstAnswerLinkShare = 0.8
	bitsPerByte          = 8
	bitsPerMegabit       = 1e6
)

// Levels of data that a router has for others.
const (
	noData int32 = iota
	partialData
	completeData
)

// currentDataLevel returns how much data this router has for others.
func (r *peerRouters) currentDataLevel() int32 {
	switch {
	case r.gateway.configProvenAt().IsZero():
		return noData
	case r.gateway.activeConfig.Load() == nil:
		// The store is known to have no configuration yet.
		return partialData
	case r.gateway.copies.revision(RunnerObjects) > 0:
		return completeData
	case r.gateway.copies.hasPartialDirectory():
		return partialData
	}
	return noData
}

// isFirstPull reports whether the pull is from a router that has no data, and is of a version that understands
// pages and notifications.
func isFirstPull(pull *wire.CopyPull) bool {
	if pull.GetDirectoryPage() == nil {
		return false
	}
	for _, have := range pull.GetHave() {
		if have.GetRevision() > 0 {
			return false
		}
	}
	return true
}

// admitsFirstPull reports whether a router without data gets an answer with data now. Otherwise it is notified
// once it is its turn.
func (r *peerRouters) admitsFirstPull(pull *wire.CopyPull) bool {
	level, address, waits := r.currentDataLevel(), pull.GetPeerAddress(), pull.GetDirectoryPage().GetWaits()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if level == noData {
		if !waits {
			r.pacer.Enqueue(address)
		}
		return false
	}
	if r.pacer.Admit(r.gateway.now(), address, waits) {
		return true
	}
	r.wakePacing()
	return false
}

// emptyAnswer is the answer to a router without data that has to wait.
func (r *peerRouters) emptyAnswer() *wire.CopyAnswer {
	return &wire.CopyAnswer{Zone: r.gateway.settings.Zone, Region: r.gateway.regionName(), DirectoryPage: &wire.DirectoryPage{}}
}

// recordFirstAnswer records the size of an answer to a router without data.
func (r *peerRouters) recordFirstAnswer(answer *wire.CopyAnswer) {
	cost := r.gateway.settings.firstAnswerCost(proto.Size(answer))
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.pacer.SetCost(cost)
}

// firstAnswerCost returns the time that an answer of the given size takes on this machine.
func (s *Settings) firstAnswerCost(bytes int) time.Duration {
	cost := firstAnswerCPU
	if s.CPUShare > 0 {
		cost = time.Duration(float64(cost) / s.CPUShare)
	}
	if s.LinkMegabits > 0 {
		seconds := float64(bytes*bitsPerByte) / (s.LinkMegabits * bitsPerMegabit * firstAnswerLinkShare)
		cost = max(cost, time.Duration(seconds*float64(time.Second)))
	}
	return cost
}

// wakePacing makes the loop that sends notifications look for waiting routers.
func (r *peerRouters) wakePacing() {
	wake(r.paceNow)
}

// notifyWaiting notifies the routers that wait for data when this router has more of it than before.
func (r *peerRouters) notifyWaiting() {
	previous := r.dataLevel.Load()
	if previous == completeData || r.transport == nil {
		return
	}
	level := r.currentDataLevel()
	if level <= previous || !r.dataLevel.CompareAndSwap(previous, level) {
		return
	}
	r.wakePacing()
	if level == completeData {
		// Routers with a part of the directory wait for the rest.
		for _, address := range r.pushTargets(r.gateway.now()) {
			r.sendNotification(address)
		}
	}
}

// paceLoop notifies the routers that wait for their first answer, one after the other.
func (r *peerRouters) paceLoop() {
	for {
		select {
		case <-r.paceNow:
		case <-r.gateway.ctx.Done():
			return
		}
		for r.currentDataLevel() > noData {
			r.mutex.Lock()
			address, wait, found := r.pacer.Next(r.gateway.now())
			r.mutex.Unlock()
			if !found || wait > 0 && !r.gateway.pause(wait) {
				break
			}
			if wait == 0 {
				r.sendNotification(address)
			}
		}
	}
}

// sendNotification notifies a router that this one has data for it. A router that misses the notification
// pulls again by itself.
func (r *peerRouters) sendNotification(address string) {
	r.Send(address, &wire.Envelope{Body: &wire.Envelope_CopyPush{CopyPush: &wire.CopyPush{HasData: true, Source: r.gateway.settings.PeerAddress}}})
}
