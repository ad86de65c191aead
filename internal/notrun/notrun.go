// Package notrun holds the proof that an attempt of a request has not run and never will. Only the clients that send attempts
// make proofs, as only they know which bytes were written and which response belongs to which attempt.
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

// Proof proves that one attempt has not run and never will. The zero value proves nothing.
type Proof struct{ kind Kind }

// New returns a proof. It may be called only by a client that sends attempts, which must know that the proof holds for the
// attempt at hand: a test of package rules checks the callers.
func New(kind Kind) Proof { return Proof{kind} }

// Kind returns the kind of the proof.
func (p Proof) Kind() Kind { return p.kind }

// Holds reports whether the value is a proof.
func (p Proof) Holds() bool { return p.kind != Unproved }
