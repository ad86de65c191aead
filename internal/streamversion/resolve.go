package streamversion

// Proven is a stream's origin for which there is evidence. The zero value is none. Only the functions of this file
// make other values, so that no call can be bound to a version that was merely assumed.
type Proven struct{ origin Origin }

// Origin returns the origin, which is empty for the zero value.
func (p Proven) Origin() Origin { return p.origin }

// FirstEvent returns the origin of a stream whose first event came from a runner of the version, or can come from no
// other one.
func FirstEvent(service, version string) Proven { return Proven{Origin{service, version}} }

// ResolvedByPeer returns an origin that another router has resolved, which is empty if the call continues no stream.
func ResolvedByPeer(service, version string) Proven {
	if version == "" {
		return Proven{}
	}
	return Proven{Origin{service, version}}
}

// SameVersion returns the origin that a stream has at a service to which its route has moved, given that runners of the software version
// at which it began serve there too.
func SameVersion(began Origin, service string) Proven { return Proven{Origin{service, began.Version}} }

// Answer is what a router that keeps records knows of a stream.
type Answer struct {
	// Origin is where the stream began, or went on first at a service to which its route has moved. It is empty if the router has no
	// record of a service that the route has. Key is that of the record.
	Origin Origin
	Key    Key
	// Began is where the stream began if its route no longer has that service, empty if that is not known.
	Began Origin
	// HasReadStore is set if the router has read the store since it was asked. Only is then the version at which all streams of
	// the service began that lived when it was asked, empty if there are several or if that is not known.
	HasReadStore bool
	Only         string
}

// Resolution is what is known of where a stream began.
type Resolution uint8

const (
	// Recorded means that a record tells the origin.
	Recorded Resolution = iota
	// OnlyVersion means that no record was found, and that all streams of the service began at one version.
	OnlyVersion
	// Moved means that the stream began at a service that its route no longer has, and has not gone on at another version than that at
	// which it goes on next. Resolve does not return it.
	Moved
	// NoRecord means that no router that records streams began the stream, that its record has expired, or that
	// all routers that had it are lost.
	NoRecord
	// RecordsMissing means that there may be a record at a router that doesn't answer, or in the store.
	RecordsMissing
)

// String returns the name of the resolution in logs and metrics.
func (r Resolution) String() string {
	return [...]string{"recorded", "only version", "moved", "no record", "records missing"}[r]
}

// IsKnown reports whether the origin is known.
func (r Resolution) IsKnown() bool { return r <= Moved }

// Copies is the number of routers that keep each record, if there are as many.
const Copies = 2

// Resolve combines the answers of the routers that keep records with that of a router that has read the store, if one has been
// asked to. replicas is the number of routers that keep records.
//
// A missing record is no evidence: the router that sent it may be cut off all replicas, and a replica cannot tell what it has not
// received. Nor is one version alone that a router lists, unless it has compared its list with the store since the stream was taken
// up: until then the stream may have begun at a version that joined later. A silent replica may have the record, so the caller may return.
func Resolve(service string, answers []Answer, replicas int) (Proven, Resolution) {
	answered, only, hasReadStore := 0, "", false
	for _, answer := range answers {
		if answer.Origin != (Origin{}) {
			return Proven{answer.Origin}, Recorded
		}
		if answer.HasReadStore {
			hasReadStore, only = true, answer.Only
			continue
		}
		answered++
	}
	switch {
	case only != "":
		return Proven{Origin{service, only}}, OnlyVersion
	case hasReadStore && answered >= replicas:
		return Proven{}, NoRecord
	}
	return Proven{}, RecordsMissing
}
