// Package notrun names what proves that an attempt of a request has not run and never will.
package notrun

// Kind is a kind of proof.
type Kind uint8

// The kinds of proof.
const (
	// Unproved means that the attempt may have run.
	Unproved Kind = iota
	// Unwritten means that no byte of the attempt was written.
	Unwritten
	// Rejected means that the runner which got the attempt rejected it.
	Rejected
	// Barred means that the runner never got the attempt and will reject it from now on.
	Barred
	// Declined means that the router to which the attempt was forwarded has a proof for each attempt of its own.
	Declined
)

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string {
	return [...]string{"unproved", "unwritten", "rejected", "barred", "declined"}[k]
}
