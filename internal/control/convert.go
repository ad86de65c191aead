package control

import (
	"time"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/config"
	"github.com/clovertiller/clovertiller/internal/fleet"
	"github.com/clovertiller/clovertiller/internal/membership"
	"github.com/clovertiller/clovertiller/internal/storerev"
	"github.com/clovertiller/clovertiller/internal/wire"
)

func memberToWire(member membership.Member) *wire.Member {
	return &wire.Member{
		Id: member.ID, Zone: member.Zone, Region: member.Region, PeerAddress: member.PeerAddress,
		Incarnation: member.Incarnation, Refutation: member.Refutation,
		State: uint32(member.State), Revision: member.Revision,
	}
}

func memberFromWire(member *wire.Member) membership.Member {
	return membership.Member{
		ID: member.GetId(), Zone: member.GetZone(), Region: member.GetRegion(), PeerAddress: member.GetPeerAddress(),
		Incarnation: member.GetIncarnation(), Refutation: member.GetRefutation(),
		State: membership.State(member.GetState()), Revision: member.GetRevision(),
	}
}

func membersToWire(members []membership.Member) []*wire.Member {
	converted := make([]*wire.Member, len(members))
	for i, member := range members {
		converted[i] = memberToWire(member)
	}
	return converted
}

func membersFromWire(members []*wire.Member) []membership.Member {
	converted := make([]membership.Member, len(members))
	for i, member := range members {
		converted[i] = memberFromWire(member)
	}
	return converted
}

func membershipToWire(message membership.Message) *wire.Envelope {
	switch message.Kind {
	case membership.ListRequest:
		return &wire.Envelope{Body: &wire.Envelope_MemberListRequest{MemberListRequest: &wire.MemberListRequest{Sender: memberToWire(message.Sender)}}}
	case membership.List:
		list := &wire.MemberList{Sender: memberToWire(message.Sender), Members: membersToWire(message.Updates)}
		return &wire.Envelope{Body: &wire.Envelope_MemberList{MemberList: list}}
	}
	heartbeat := &wire.Heartbeat{
		Sequence: message.Sequence,
		Sender:   memberToWire(message.Sender),
		Updates:  membersToWire(message.Updates),
		ViewHash: message.ViewHash,
	}
	for _, zone := range message.Zones {
		heartbeat.Zones = append(heartbeat.Zones, &wire.ZoneStatus{Zone: zone.Zone, Unreachable: zone.Unreachable, ObservedMillis: zone.ObservedMillis})
	}
	if message.Kind == membership.Ack {
		return &wire.Envelope{Body: &wire.Envelope_HeartbeatAck{HeartbeatAck: heartbeat}}
	}
	return &wire.Envelope{Body: &wire.Envelope_Heartbeat{Heartbeat: heartbeat}}
}

func heartbeatFromWire(kind membership.MessageKind, heartbeat *wire.Heartbeat) membership.Message {
	message := membership.Message{
		Kind:     kind,
		Sequence: heartbeat.GetSequence(),
		Sender:   memberFromWire(heartbeat.GetSender()),
		Updates:  membersFromWire(heartbeat.GetUpdates()),
		ViewHash: heartbeat.GetViewHash(),
	}
	for _, zone := range heartbeat.GetZones() {
		message.Zones = append(message.Zones, membership.ZoneStatus{Zone: zone.GetZone(), Unreachable: zone.GetUnreachable(), ObservedMillis: zone.GetObservedMillis()})
	}
	return message
}

func deltaEnvelope(delta config.Delta) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_ConfigDelta{ConfigDelta: DeltaToWire(delta)}}
}

// DeltaToWire converts a delta to its wire format.
func DeltaToWire(delta config.Delta) *wire.ConfigDelta {
	converted := &wire.ConfigDelta{FromRevision: uint64(delta.From), ThroughRevision: uint64(delta.Through), Full: delta.Full}
	for _, object := range delta.Objects {
		converted.Objects = append(converted.Objects, &wire.ConfigObject{
			Kind: string(object.Kind), Name: object.Name, Version: object.Version, Deleted: object.Deleted, Spec: object.Spec,
		})
	}
	return converted
}

// DeltaFromWire converts a delta from its wire format.
func DeltaFromWire(delta *wire.ConfigDelta) config.Delta {
	converted := config.Delta{From: storerev.Revision(delta.GetFromRevision()), Through: storerev.Revision(delta.GetThroughRevision()), Full: delta.GetFull()}
	for _, object := range delta.GetObjects() {
		converted.Objects = append(converted.Objects, v1.Object{
			Kind: v1.Kind(object.GetKind()), Name: object.GetName(), Version: object.GetVersion(), Deleted: object.GetDeleted(), Spec: object.GetSpec(),
		})
	}
	return converted
}

// LoadToWire converts a load to its wire format, which has no MeasuredAt.
func LoadToWire(load fleet.Load) *wire.Load {
	converted := &wire.Load{
		Running: uint32(load.Running), Waiting: uint32(load.Waiting),
		PrefillRate: uint32(load.PrefillRate), MaxRunning: uint32(load.MaxRunning),
	}
	for _, tokens := range load.QueuedTokens {
		converted.QueuedTokens = append(converted.QueuedTokens, uint32(tokens))
	}
	return converted
}

// LoadFromWire converts a load from its wire format. It does not set MeasuredAt and ignores priority
// classes that this version does not have.
func LoadFromWire(load *wire.Load) fleet.Load {
	converted := fleet.Load{
		Running: int(load.GetRunning()), Waiting: int(load.GetWaiting()),
		PrefillRate: int(load.GetPrefillRate()), MaxRunning: int(load.GetMaxRunning()),
	}
	for i, tokens := range load.GetQueuedTokens() {
		if i < fleet.PriorityClasses {
			converted.QueuedTokens[i] = int(tokens)
		}
	}
	return converted
}

func reportToWire(report fleet.Report) *wire.RunnerReport {
	return &wire.RunnerReport{
		Runner: report.Runner, Incarnation: report.Incarnation, Sequence: report.Sequence,
		State: uint32(report.State), Model: report.Model, WeightVersion: report.WeightVersion,
		Adapters: report.Adapters, Role: report.Role, Connected: report.Connected, Load: LoadToWire(report.Load),
	}
}

func reportFromWire(report *wire.RunnerReport) fleet.Report {
	return fleet.Report{
		Runner: report.GetRunner(), Incarnation: report.GetIncarnation(), Sequence: report.GetSequence(),
		State: fleet.State(report.GetState()), Model: report.GetModel(), WeightVersion: report.GetWeightVersion(),
		Adapters: report.GetAdapters(), Role: report.GetRole(), Connected: report.GetConnected(), Load: loadFromReport(report),
	}
}

// assumedLoadAge is the assumed age of a load when the runner's home reads it from the engine.
const assumedLoadAge = 200 * time.Millisecond

// loadFromReport converts the load of a report and derives MeasuredAt from the report's sequence.
func loadFromReport(report *wire.RunnerReport) fleet.Load {
	load := LoadFromWire(report.GetLoad())
	load.MeasuredAt = loadMeasuredAt(report.GetSequence())
	return load
}

// loadMeasuredAt returns the assumed time of measurement of a load from the sequence of its report,
// which is the time of the report in Unix milliseconds on the home's clock.
func loadMeasuredAt(sequence uint64) time.Time {
	return time.UnixMilli(int64(sequence)).Add(-assumedLoadAge)
}
