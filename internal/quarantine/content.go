// Package quarantine finds contents of requests that end the runners that run them, and
// says which may not be sent any more.
//
// The package has no I/O, clock or goroutines.
package quarantine

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Content names what a request asks: whoever asks the same again has the same one, at
// whichever router. The tenant is part of it, so that no tenant's requests speak against
// those of another, whatever their digests.
type Content struct {
	Tenant string
	// Digest is the hash of host, path with query, and body.
	Digest uint64
}

// ContentOf returns the content of a tenant's request; the tenant is empty for requests
// without one.
func ContentOf(tenant, host, target string, body []byte) Content {
	digest := xxhash.New()
	// Writing to a hash does not fail.
	for _, part := range []string{host, target} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(body)
	return Content{Tenant: tenant, Digest: digest.Sum64()}
}

// String returns the digest as logs and the store have it.
func (c Content) String() string { return fmt.Sprintf("%016x", c.Digest) }
