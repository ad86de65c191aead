// Package quarantine detects what crashes the runners that process it, and decides which requests
// must no longer be sent for that reason.
//
// The package performs no I/O, does not read the clock and starts no goroutines.
package quarantine

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Subject is what crashes are attributed to: the content of a request, or a part of its prompt that
// other requests may share. The tenant belongs to it, so that crashes caused by one tenant's requests
// never count against those of another tenant, even if digests or part IDs are equal.
type Subject struct {
	Tenant string
	// Digest is the hash of the host, the path with its query, and the body, 0 for a prompt part.
	Digest uint64
	// Part is the ID of the prompt part, empty for a content.
	Part string
}

// NewContent returns the content of a tenant's request. Identical requests have the same content at
// every router. The tenant is empty for requests without one, and target is the path with its query.
func NewContent(tenant, host, target string, body []byte) Subject {
	hash := xxhash.New()
	// Writing to a hash never fails.
	for _, part := range []string{host, target} {
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(body)
	return Subject{Tenant: tenant, Digest: hash.Sum64()}
}

// CredentialHash returns the hash of a caller's credential, 0 for callers without one.
func CredentialHash(credential string) uint64 {
	if credential == "" {
		return 0
	}
	return max(xxhash.Sum64String(credential), 1)
}

// Request is what of a request may crash runners, and who sent it.
type Request struct {
	Content Subject
	// Parts are the IDs of the prompt parts that the request may share with others.
	Parts []string
	// Credential is the CredentialHash of the caller. Configurations may move a credential to another tenant.
	Credential uint64
}

// NewPart returns a part of the prompts of a tenant's requests.
func NewPart(tenant, id string) Subject { return Subject{Tenant: tenant, Part: id} }

// IsPart reports whether the subject is a prompt part.
func (s Subject) IsPart() bool { return s.Part != "" }

// String returns the part's ID, or the digest in the form that is used in logs and in the store.
func (s Subject) String() string {
	if s.IsPart() {
		return s.Part
	}
	return fmt.Sprintf("%016x", s.Digest)
}
