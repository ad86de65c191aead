// Package quarantine detects requests that crash the runners that process them, and decides
// which contents must no longer be sent.
//
// The package performs no I/O, does not read the clock and starts no goroutines.
package quarantine

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// ContentID identifies the content of a request: identical requests have the same ContentID at
// every router. The tenant is part of it, so that crashes caused by one tenant's requests never
// count against those of another tenant, even if their digests collide.
type ContentID struct {
	Tenant string
	// Digest is the hash of the host, the path with its query, and the body.
	Digest uint64
}

// NewContentID returns the ContentID of a tenant's request. The tenant is empty for requests
// without one, and target is the path with its query.
func NewContentID(tenant, host, target string, body []byte) ContentID {
	hash := xxhash.New()
	// Writing to a hash never fails.
	for _, part := range []string{host, target} {
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(body)
	return ContentID{Tenant: tenant, Digest: hash.Sum64()}
}

// String returns the digest in the form that is used in logs and in the store.
func (c ContentID) String() string { return fmt.Sprintf("%016x", c.Digest) }
