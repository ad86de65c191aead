package node

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/claim"
	"github.com/clovertiller/clovertiller/internal/config"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/membership"
	"github.com/clovertiller/clovertiller/internal/platform"
	"github.com/clovertiller/clovertiller/internal/rendezvous"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// Sizes and times of claims.
const (
	claimHolders = 3
	claimTimeout = 400 * time.Millisecond
	// claimRounds is how often one attempt asks again under a newer assignment.
	claimRounds        = 10
	claimRoundPause    = 100 * time.Millisecond
	assignmentInterval = 250 * time.Millisecond
	sealTimeout        = 500 * time.Millisecond
)

// assignmentKey names the one object that says who the claim holders are.
var assignmentKey = v1.Key{Kind: v1.KindClaimAssignment, Name: "claims"}

// errNoAssignment means that no claim holders are known.
var errNoAssignment = errors.New("no claim assignment is known")

// followAssignment makes this node serve or retire as the assignment says. The
// mutex is held.
func (n *Node) followAssignment(snapshot *config.Snapshot) {
	assignment := snapshot.Assignment
	if assignment.Number == 0 {
		return
	}
	before, was := n.holder.Assignment()
	for _, holder := range assignment.Holders {
		if holder.Node == n.settings.Node && holder.Incarnation == n.incarnation {
			n.holder.Serve(time.Now(), assignment.Number)
			if number, _ := n.holder.Assignment(); number != before || !was {
				n.log.Log(events.ClaimsServing, events.Fields{"assignment": number})
			}
			return
		}
	}
	n.holder.Retire(assignment.Number)
	if was {
		n.log.Log(events.ClaimsRetired, events.Fields{"assignment": assignment.Number})
	}
}

func (n *Node) answerClaim(request *wire.ClaimRequest) *wire.ClaimResponse {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	issued := time.UnixMilli(request.GetIssuedUnixMillis())
	verdict := n.holder.Claim(time.Now(), request.GetAssignment(), request.GetKey(), issued, request.GetAttempt())
	number, _ := n.holder.Assignment()
	return &wire.ClaimResponse{Verdict: uint32(verdict), Assignment: number}
}

func (n *Node) answerSeal(request *wire.SealRequest) *wire.SealResponse {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	horizon, records, sealed := n.holder.Seal(request.GetAssignment())
	if !sealed {
		return &wire.SealResponse{}
	}
	return &wire.SealResponse{Sealed: true, HorizonUnixMillis: horizon.UnixMilli(), Records: recordsToWire(records)}
}

func (n *Node) answerInstall(request *wire.InstallRequest) *wire.InstallResponse {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	installed := n.holder.Install(request.GetAssignment(), time.UnixMilli(request.GetHorizonUnixMillis()), recordsFromWire(request.GetRecords()))
	return &wire.InstallResponse{Installed: installed}
}

func recordsToWire(records []claim.Record) []*wire.ClaimRecord {
	converted := make([]*wire.ClaimRecord, len(records))
	for i, record := range records {
		converted[i] = &wire.ClaimRecord{Key: record.Key, Attempt: record.Attempt, IssuedUnixMillis: record.IssuedAt.UnixMilli()}
	}
	return converted
}

func recordsFromWire(records []*wire.ClaimRecord) []claim.Record {
	converted := make([]claim.Record, len(records))
	for i, record := range records {
		converted[i] = claim.Record{Key: record.GetKey(), Attempt: record.GetAttempt(), IssuedAt: time.UnixMilli(record.GetIssuedUnixMillis())}
	}
	return converted
}

// claim takes a claim on the key for one attempt. Under a change of holders it
// asks again, as the same attempt.
func (n *Node) claim(ctx context.Context, key string, issued time.Time, attempt string) (claim.Decision, claim.Verdict) {
	decision, reason := claim.Unavailable, claim.Verdict(0)
	for round := 0; round < claimRounds; round++ {
		var err error
		decision, reason, err = n.claimRound(ctx, key, issued, attempt)
		if err == nil && decision != claim.Retry {
			return decision, reason
		}
		select {
		case <-time.After(claimRoundPause):
		case <-ctx.Done():
			return decision, reason
		}
	}
	return decision, reason
}

func (n *Node) claimRound(ctx context.Context, key string, issued time.Time, attempt string) (claim.Decision, claim.Verdict, error) {
	assignment := n.snapshot.Load().Assignment
	if assignment.Number == 0 {
		return claim.Unavailable, 0, errNoAssignment
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	request := &wire.ClaimRequest{Assignment: assignment.Number, Key: key, IssuedUnixMillis: issued.UnixMilli(), Attempt: attempt}
	verdicts := make(chan claim.Verdict, len(assignment.Holders))
	for _, holder := range assignment.Holders {
		go func() { verdicts <- n.askHolder(ctx, holder, request) }()
	}
	round := claim.NewRound(len(assignment.Holders))
	for round.Decide() == claim.Undecided {
		if verdict := <-verdicts; verdict == 0 {
			round.AddTimeout()
		} else {
			round.AddVerdict(verdict)
		}
	}
	return round.Decide(), round.Reason(), nil
}

// askHolder returns the holder's verdict, or 0 when it did not answer.
func (n *Node) askHolder(ctx context.Context, holder v1.ClaimHolder, request *wire.ClaimRequest) claim.Verdict {
	if holder.Node == n.settings.Node && holder.Incarnation == n.incarnation {
		return claim.Verdict(n.answerClaim(request).GetVerdict())
	}
	reply := n.callNode(ctx, holder.Node, &wire.Envelope{Body: &wire.Envelope_ClaimRequest{ClaimRequest: request}})
	if reply == nil || reply.GetClaimResponse() == nil {
		return 0
	}
	return claim.Verdict(reply.GetClaimResponse().GetVerdict())
}

// callNode returns the reply of a node, or nil.
func (n *Node) callNode(ctx context.Context, node string, envelope *wire.Envelope) *wire.Envelope {
	n.mutex.Lock()
	address, found := n.control.Address(node)
	n.mutex.Unlock()
	if !found {
		return nil
	}
	reply, err := n.transport.Call(ctx, node, address, envelope)
	if err != nil {
		return nil
	}
	return reply
}

// assignmentLoop keeps the claim assignment on live nodes. One node does it at
// a time; if two believe that they are the one, the platform's version
// precondition lets one of them win, and both handovers are sound.
func (n *Node) assignmentLoop() {
	for n.pause(assignmentInterval) {
		if n.assignsClaims() {
			n.reviewAssignment()
		}
	}
}

var assignerKey = rendezvous.KeyOf("duty/claim-assignment")

func (n *Node) assignsClaims() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.Revision() > 0 && rendezvous.Owner(n.control.UsableNodes(), assignerKey) == n.settings.Node
}

// proposal is a change of holders in the making.
type proposal struct {
	current v1.ClaimAssignmentSpec
	version uint64
	next    []v1.ClaimHolder
	gone    map[string]bool
}

func (n *Node) reviewAssignment() {
	change, needed := n.proposeAssignment()
	if !needed {
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, 2*time.Second)
	defer cancel()
	number := change.current.Number + 1
	if change.current.Number > 0 {
		handover, ready := claim.NewHandover(time.Now(), n.sealAll(ctx, change))
		if !ready {
			n.log.Log(events.AssignmentBlocked, events.Fields{"assignment": change.current.Number})
			return
		}
		n.installAll(ctx, change.next, number, handover)
	}
	spec, _ := json.Marshal(v1.ClaimAssignmentSpec{Number: number, Holders: change.next})
	stored, err := n.platform.PutResolved(ctx, v1.Object{Kind: assignmentKey.Kind, Name: assignmentKey.Name, Version: change.version, Spec: spec})
	if errors.Is(err, platform.ErrConflict) {
		// Somebody else's write is in place; the watch brings it.
		return
	}
	if err != nil {
		return
	}
	n.log.Log(events.AssignmentProposed, events.Fields{"assignment": number, "version": stored.Version})
}

// proposeAssignment says whether the holders need to change, and to whom.
func (n *Node) proposeAssignment() (proposal, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	current := n.snapshot.Load().Assignment
	change := proposal{current: current, version: n.control.Store().Version(assignmentKey), gone: map[string]bool{}}
	keep := map[string]bool{}
	needed := len(current.Holders) < min(claimHolders, len(n.control.UsableNodes()))
	for _, holder := range current.Holders {
		gone, leaving := n.holderFate(holder)
		change.gone[holder.Node] = gone
		if gone || leaving {
			needed = true
		} else {
			keep[holder.Node] = true
		}
	}
	if !needed {
		return change, false
	}
	change.next = n.chooseHolders(keep)
	return change, len(change.next) > 0
}

// holderFate tells whether a holder's process is known to have ended, and
// whether it is about to. A holder that merely does not answer is neither.
func (n *Node) holderFate(holder v1.ClaimHolder) (gone, leaving bool) {
	if n.control.Store().Deleted(v1.Key{Kind: v1.KindMachine, Name: holder.Node}) {
		return true, false
	}
	member, found := n.control.Members().Member(holder.Node)
	if !found {
		return false, false
	}
	return member.Incarnation > holder.Incarnation, member.State == membership.Leaving
}

// chooseHolders keeps the holders that stay and fills up, from zones without a
// holder first. The mutex is held.
func (n *Node) chooseHolders(keep map[string]bool) []v1.ClaimHolder {
	usable := n.control.UsableNodes()
	ranked := rendezvous.Ranked(usable, rendezvous.KeyOf("duty/claim-holder"), len(usable))
	zones := map[string]bool{}
	chosen := map[string]bool{}
	var holders []v1.ClaimHolder
	take := func(accept func(membership.Member) bool) {
		for _, id := range ranked {
			member, _ := n.control.Members().Member(id)
			if len(holders) < claimHolders && !chosen[id] && accept(member) {
				chosen[id] = true
				zones[member.Zone] = true
				holders = append(holders, v1.ClaimHolder{Node: id, Incarnation: member.Incarnation})
			}
		}
	}
	take(func(member membership.Member) bool { return keep[member.ID] })
	take(func(member membership.Member) bool { return !zones[member.Zone] })
	take(func(membership.Member) bool { return true })
	return holders
}

// sealAll stops the old holders and collects their memories.
func (n *Node) sealAll(ctx context.Context, change proposal) []claim.SealResult {
	answers := make([]claim.SealResult, len(change.current.Holders))
	var group sync.WaitGroup
	for i, holder := range change.current.Holders {
		if change.gone[holder.Node] {
			answers[i].Ended = true
			continue
		}
		group.Add(1)
		go func() {
			defer group.Done()
			answers[i] = n.sealOne(ctx, holder, change.current.Number)
		}()
	}
	group.Wait()
	return answers
}

func (n *Node) sealOne(ctx context.Context, holder v1.ClaimHolder, number uint64) claim.SealResult {
	request := &wire.SealRequest{Assignment: number}
	var response *wire.SealResponse
	if holder.Node == n.settings.Node {
		response = n.answerSeal(request)
	} else {
		ctx, cancel := context.WithTimeout(ctx, sealTimeout)
		defer cancel()
		reply := n.callNode(ctx, holder.Node, &wire.Envelope{Body: &wire.Envelope_SealRequest{SealRequest: request}})
		// The answer must come from the listed process, not from a newer one.
		if reply == nil || reply.GetFromIncarnation() != holder.Incarnation {
			return claim.SealResult{}
		}
		response = reply.GetSealResponse()
	}
	return claim.SealResult{
		Sealed:  response.GetSealed(),
		Horizon: time.UnixMilli(response.GetHorizonUnixMillis()),
		Records: recordsFromWire(response.GetRecords()),
	}
}

// installAll hands the memory to the next holders. One that does not get it
// starts with an empty memory and its own horizon, which is safe.
func (n *Node) installAll(ctx context.Context, holders []v1.ClaimHolder, number uint64, handover claim.Handover) {
	request := &wire.InstallRequest{Assignment: number, HorizonUnixMillis: handover.Horizon.UnixMilli(), Records: recordsToWire(handover.Records)}
	var group sync.WaitGroup
	for _, holder := range holders {
		if holder.Node == n.settings.Node {
			n.answerInstall(request)
			continue
		}
		group.Add(1)
		go func() {
			defer group.Done()
			ctx, cancel := context.WithTimeout(ctx, sealTimeout)
			defer cancel()
			n.callNode(ctx, holder.Node, &wire.Envelope{Body: &wire.Envelope_InstallRequest{InstallRequest: request}})
		}()
	}
	group.Wait()
}
