package streamversion

// Answer is what a router that keeps records knows of a stream.
type Answer struct {
	// Origin is where the stream began. It is empty if the router has no record.
	Origin Origin
	// IsComplete is set if the router lacks no record that it should have, and Unrecorded is the version at
	// which a stream without a record began, empty if that is not known.
	IsComplete bool
	Unrecorded string
}

// Resolution is what is known of where a stream began.
type Resolution uint8

const (
	// Recorded means that a record tells the origin.
	Recorded Resolution = iota
	// BeforeRecords means that there is no record, and that the stream began when one version served alone.
	BeforeRecords
	// OnlyVersion means that records may be lost, and that one version alone is known.
	OnlyVersion
	// NoRecord means that no router that records streams began the stream, or that its record has expired.
	NoRecord
	// RecordsMissing means that there may be a record at a router that doesn't answer or has lost records.
	RecordsMissing
)

// String returns the name of the resolution in logs and metrics.
func (r Resolution) String() string {
	return [...]string{"recorded", "before records", "only version", "no record", "records missing"}[r]
}

// IsKnown reports whether the origin is known.
func (r Resolution) IsKnown() bool { return r <= OnlyVersion }

// Copies is the number of routers that keep each record, if there are as many.
const Copies = 2

// Resolve combines the answers of the routers that keep records. keepers is their number, and only the only version
// of the service that the asking router knows, or empty.
//
// Each record is at Copies of them. So if fewer than Copies lack it because they don't answer or are incomplete,
// an answer without a record shows that there is none.
func Resolve(service string, answers []Answer, keepers int, only string) (Origin, Resolution) {
	complete, unrecorded := 0, ""
	for _, answer := range answers {
		if answer.Origin != (Origin{}) {
			return answer.Origin, Recorded
		}
		if answer.IsComplete {
			complete++
		}
		if answer.Unrecorded != "" {
			unrecorded = answer.Unrecorded
		}
	}
	isProof := keepers-complete < min(Copies, keepers)
	switch {
	case isProof && unrecorded != "":
		return Origin{service, unrecorded}, BeforeRecords
	case only != "":
		return Origin{service, only}, OnlyVersion
	case isProof:
		return Origin{}, NoRecord
	}
	return Origin{}, RecordsMissing
}
