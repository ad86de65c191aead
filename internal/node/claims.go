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

// Parameters of the claim protocol.
const (
	claimHolderCount = 3
	// claimTimeout bounds one round, in which all holders are asked for their verdicts.
	claimTimeout = 400 * time.Millisecond
	// maxClaimRounds bounds the rounds of one attempt. A round is repeated if the assignment
	// has changed or is not known yet.
	maxClaimRounds          = 10
	claimRetryInterval      = 100 * time.Millisecond
	assignmentCheckInterval = 250 * time.Millisecond
	// handoverCallTimeout bounds one seal or install request to a holder.
	handoverCallTimeout = 500 * time.Millisecond
)

// assignmentKey is the key of the only ClaimAssignment object, which lists the claim holders.
var assignmentKey = v1.Key{Kind: v1.KindClaimAssignment, Name: "claims"}

// errNoAssignment means that this node has no claim assignment yet.
var errNoAssignment = errors.New("no claim assignment is known")

// applyAssignment starts or stops serving claims, depending on whether the assignment lists this
// process. The caller must hold n.mutex.
func (n *Node) applyAssignment(snapshot *config.Snapshot) {
	assignment := snapshot.Assignment
	if assignment.Number == 0 {
		return
	}
	previousNumber, wasGranting := n.claimHolder.Assignment()
	for _, holder := range assignment.Holders {
		if holder.Node == n.settings.Node && holder.Incarnation == n.incarnation {
			n.claimHolder.Serve(time.Now(), assignment.Number)
			if number, _ := n.claimHolder.Assignment(); number != previousNumber || !wasGranting {
				n.log.Log(events.ClaimsServing, events.Fields{"assignment": number})
			}
			return
		}
	}
	n.claimHolder.Retire(assignment.Number)
	if wasGranting {
		n.log.Log(events.ClaimsRetired, events.Fields{"assignment": assignment.Number})
	}
}

// handleClaim decides on a claim as a claim holder.
func (n *Node) handleClaim(request *wire.ClaimRequest) *wire.ClaimResponse {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	issuedAt := time.UnixMilli(request.GetIssuedUnixMillis())
	verdict := n.claimHolder.Claim(time.Now(), request.GetAssignment(), request.GetKey(), issuedAt, request.GetAttempt())
	number, _ := n.claimHolder.Assignment()
	return &wire.ClaimResponse{Verdict: uint32(verdict), Assignment: number}
}

// handleSeal stops granting claims under the assignment and returns this holder's records. If the
// holder cannot be sealed, the response has Sealed false.
func (n *Node) handleSeal(request *wire.SealRequest) *wire.SealResponse {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	horizon, records, sealed := n.claimHolder.Seal(request.GetAssignment())
	if !sealed {
		return &wire.SealResponse{}
	}
	return &wire.SealResponse{Sealed: true, HorizonUnixMillis: horizon.UnixMilli(), Records: recordsToWire(records)}
}

// handleInstall takes over the records of the previous assignment.
func (n *Node) handleInstall(request *wire.InstallRequest) *wire.InstallResponse {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	installed := n.claimHolder.Install(request.GetAssignment(), time.UnixMilli(request.GetHorizonUnixMillis()), recordsFromWire(request.GetRecords()))
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

// claimKey claims the key for one attempt. If the assignment has changed or is not known yet, it
// repeats the round as the same attempt, up to maxClaimRounds times.
func (n *Node) claimKey(ctx context.Context, key string, issuedAt time.Time, attempt string) (claim.Decision, claim.Verdict) {
	decision, reason := claim.Unavailable, claim.Verdict(0)
	for round := 0; round < maxClaimRounds; round++ {
		var err error
		decision, reason, err = n.runClaimRound(ctx, key, issuedAt, attempt)
		if err == nil && decision != claim.Retry {
			return decision, reason
		}
		select {
		case <-time.After(claimRetryInterval):
		case <-ctx.Done():
			return decision, reason
		}
	}
	return decision, reason
}

// runClaimRound asks all holders of the current assignment for their verdicts and returns the
// decision with its reason. It returns errNoAssignment if there is no assignment.
func (n *Node) runClaimRound(ctx context.Context, key string, issuedAt time.Time, attempt string) (claim.Decision, claim.Verdict, error) {
	assignment := n.snapshot.Load().Assignment
	if assignment.Number == 0 {
		return claim.Unavailable, 0, errNoAssignment
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	request := &wire.ClaimRequest{Assignment: assignment.Number, Key: key, IssuedUnixMillis: issuedAt.UnixMilli(), Attempt: attempt}
	verdicts := make(chan claim.Verdict, len(assignment.Holders))
	for _, holder := range assignment.Holders {
		go func() { verdicts <- n.requestVerdict(ctx, holder, request) }()
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

// requestVerdict returns the holder's verdict, or 0 if it did not respond.
func (n *Node) requestVerdict(ctx context.Context, holder v1.ClaimHolder, request *wire.ClaimRequest) claim.Verdict {
	if holder.Node == n.settings.Node && holder.Incarnation == n.incarnation {
		return claim.Verdict(n.handleClaim(request).GetVerdict())
	}
	reply := n.callNode(ctx, holder.Node, &wire.Envelope{Body: &wire.Envelope_ClaimRequest{ClaimRequest: request}})
	if reply == nil || reply.GetClaimResponse() == nil {
		return 0
	}
	return claim.Verdict(reply.GetClaimResponse().GetVerdict())
}

// callNode sends the envelope to a node and returns its reply, or nil if its address is unknown
// or the call fails.
func (n *Node) callNode(ctx context.Context, node string, envelope *wire.Envelope) *wire.Envelope {
	n.mutex.Lock()
	address, found := n.control.NodeAddress(node)
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

// assignmentLoop replaces claim holders that have ended or are leaving, and adds holders while there
// are fewer than claimHolderCount. Normally one node, the assigner, does this. If two nodes consider
// themselves the assigner, the platform's version precondition accepts only one write, and the
// handovers of both are safe.
func (n *Node) assignmentLoop() {
	for n.sleep(assignmentCheckInterval) {
		if n.isAssigner() {
			n.reconcileAssignment()
		}
	}
}

// assignerKey is the rendezvous hash key by which the assigner is chosen.
var assignerKey = rendezvous.KeyOf("duty/claim-assignment")

// isAssigner reports whether this node is the one that maintains the claim assignment.
func (n *Node) isAssigner() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.Revision() > 0 && rendezvous.Owner(n.control.UsableNodes(), assignerKey) == n.settings.Node
}

// assignmentChange is a planned change of the claim holders.
type assignmentChange struct {
	current v1.ClaimAssignmentSpec
	// version is the version of the assignment object that the change replaces.
	version uint64
	next    []v1.ClaimHolder
	// ended reports by node whether the process of a current holder is known to have ended.
	ended map[string]bool
}

// reconcileAssignment changes the holders if necessary: it seals the current holders, installs
// their records at the next holders, and then writes the new assignment. It leaves the assignment
// unchanged if too few of the current holders are sealed or have ended.
func (n *Node) reconcileAssignment() {
	change, needed := n.planAssignmentChange()
	if !needed {
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, 2*time.Second)
	defer cancel()
	number := change.current.Number + 1
	if change.current.Number > 0 {
		handover, safe := claim.NewHandover(time.Now(), n.sealHolders(ctx, change))
		if !safe {
			n.log.Log(events.AssignmentBlocked, events.Fields{"assignment": change.current.Number})
			return
		}
		n.installHandover(ctx, change.next, number, handover)
	}
	spec, _ := json.Marshal(v1.ClaimAssignmentSpec{Number: number, Holders: change.next})
	stored, err := n.platform.PutWithReadBack(ctx, v1.Object{Kind: assignmentKey.Kind, Name: assignmentKey.Name, Version: change.version, Spec: spec})
	if errors.Is(err, platform.ErrConflict) {
		// Another node has written the assignment. The watch will deliver it.
		return
	}
	if err != nil {
		return
	}
	n.log.Log(events.AssignmentProposed, events.Fields{"assignment": number, "version": stored.Version})
}

// planAssignmentChange returns the change that the claim holders need, and false if none is needed
// or there is no usable node.
func (n *Node) planAssignmentChange() (assignmentChange, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	current := n.snapshot.Load().Assignment
	change := assignmentChange{current: current, version: n.control.Store().Version(assignmentKey), ended: map[string]bool{}}
	kept := map[string]bool{}
	needed := len(current.Holders) < min(claimHolderCount, len(n.control.UsableNodes()))
	for _, holder := range current.Holders {
		ended, leaving := n.holderState(holder)
		change.ended[holder.Node] = ended
		if ended || leaving {
			needed = true
		} else {
			kept[holder.Node] = true
		}
	}
	if !needed {
		return change, false
	}
	change.next = n.chooseHolders(kept)
	return change, len(change.next) > 0
}

// holderState reports whether a holder's process is known to have ended and whether its node is
// leaving. A holder that only fails to respond counts as neither.
func (n *Node) holderState(holder v1.ClaimHolder) (ended, leaving bool) {
	if n.control.Store().IsDeleted(v1.Key{Kind: v1.KindMachine, Name: holder.Node}) {
		return true, false
	}
	member, found := n.control.Members().Member(holder.Node)
	if !found {
		return false, false
	}
	return member.Incarnation > holder.Incarnation, member.State == membership.Leaving
}

// chooseHolders returns the kept holders together with new ones up to claimHolderCount. New
// holders are taken from zones without a holder first. The caller must hold n.mutex.
func (n *Node) chooseHolders(kept map[string]bool) []v1.ClaimHolder {
	usable := n.control.UsableNodes()
	ranked := rendezvous.Ranked(usable, rendezvous.KeyOf("duty/claim-holder"), len(usable))
	zones := map[string]bool{}
	chosen := map[string]bool{}
	var holders []v1.ClaimHolder
	addWhere := func(accept func(membership.Member) bool) {
		for _, id := range ranked {
			member, _ := n.control.Members().Member(id)
			if len(holders) < claimHolderCount && !chosen[id] && accept(member) {
				chosen[id] = true
				zones[member.Zone] = true
				holders = append(holders, v1.ClaimHolder{Node: id, Incarnation: member.Incarnation})
			}
		}
	}
	addWhere(func(member membership.Member) bool { return kept[member.ID] })
	addWhere(func(member membership.Member) bool { return !zones[member.Zone] })
	addWhere(func(membership.Member) bool { return true })
	return holders
}

// sealHolders seals the current holders concurrently and returns their results.
func (n *Node) sealHolders(ctx context.Context, change assignmentChange) []claim.SealResult {
	results := make([]claim.SealResult, len(change.current.Holders))
	var pending sync.WaitGroup
	for i, holder := range change.current.Holders {
		if change.ended[holder.Node] {
			results[i].Ended = true
			continue
		}
		pending.Add(1)
		go func() {
			defer pending.Done()
			results[i] = n.sealHolder(ctx, holder, change.current.Number)
		}()
	}
	pending.Wait()
	return results
}

// sealHolder seals one holder. It returns a zero result if the holder did not respond.
func (n *Node) sealHolder(ctx context.Context, holder v1.ClaimHolder, assignment uint64) claim.SealResult {
	request := &wire.SealRequest{Assignment: assignment}
	var response *wire.SealResponse
	if holder.Node == n.settings.Node {
		response = n.handleSeal(request)
	} else {
		ctx, cancel := context.WithTimeout(ctx, handoverCallTimeout)
		defer cancel()
		reply := n.callNode(ctx, holder.Node, &wire.Envelope{Body: &wire.Envelope_SealRequest{SealRequest: request}})
		// The reply must come from the listed process and not from a later one on the node.
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

// installHandover sends the merged records to the next holders. A holder that does not receive
// them starts without records and with its own horizon, which is safe.
func (n *Node) installHandover(ctx context.Context, holders []v1.ClaimHolder, assignment uint64, handover claim.Handover) {
	request := &wire.InstallRequest{Assignment: assignment, HorizonUnixMillis: handover.Horizon.UnixMilli(), Records: recordsToWire(handover.Records)}
	var pending sync.WaitGroup
	for _, holder := range holders {
		if holder.Node == n.settings.Node {
			n.handleInstall(request)
			continue
		}
		pending.Add(1)
		go func() {
			defer pending.Done()
			ctx, cancel := context.WithTimeout(ctx, handoverCallTimeout)
			defer cancel()
			n.callNode(ctx, holder.Node, &wire.Envelope{Body: &wire.Envelope_InstallRequest{InstallRequest: request}})
		}()
	}
	pending.Wait()
}
