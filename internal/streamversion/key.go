package streamversion

import "crypto/sha256"

// keyBytes is the size of a Key. It makes collisions impracticable, also deliberate ones.
const keyBytes = 16

// Key identifies a stream.
type Key [keyBytes]byte

// NewKey returns the key of the stream that the tenant's request with the ID began.
func NewKey(tenant, id string) Key { return hashFields(tenant, id) }

// hashFields returns the hash of the fields. Neither names of tenants nor what callers send in headers has zero bytes.
func hashFields(fields ...string) Key {
	hash := sha256.New()
	for i, field := range fields {
		if i > 0 {
			hash.Write([]byte{0})
		}
		hash.Write([]byte(field))
	}
	return Key(hash.Sum(nil)[:keyBytes])
}

// Caller is who began or takes up a stream. Configurations may move a credential to another tenant, replace the credentials of a tenant and
// make routes public, so that either name may change while a stream lives.
type Caller struct {
	// Tenant is empty for anonymous callers.
	Tenant string
	// Credential is the API key that the caller sent, empty if it sent none.
	Credential string
}

// RecordKeys returns the keys of the record of the stream that the caller's request with the ID began. The alias is zero for
// callers without a credential.
func (c Caller) RecordKeys(id string) (key, alias Key) {
	if c.Credential != "" {
		alias = credentialKey(c.Credential, id)
	}
	return NewKey(c.Tenant, id), alias
}

// LookupKeys returns the keys under which a stream may be recorded that the caller may take up: one that it began, that its tenant
// began, or that an anonymous caller began, and which therefore belongs to nobody.
func (c Caller) LookupKeys(id string) []Key {
	key, alias := c.RecordKeys(id)
	keys := Record{Key: key, Alias: alias}.keys()
	if c.Tenant != "" {
		keys = append(keys, NewKey("", id))
	}
	return keys
}

// ServiceRecordKeys returns the keys of the record of the stream at a service where it did not begin, as its route has moved there.
func (c Caller) ServiceRecordKeys(id, service string) (key, alias Key) {
	return c.RecordKeys(serviceID(id, service))
}

// ServiceLookupKeys is LookupKeys for the same.
func (c Caller) ServiceLookupKeys(id, service string) []Key {
	return c.LookupKeys(serviceID(id, service))
}

// serviceID returns an ID that no caller can send.
func serviceID(id, service string) string { return id + "\x00" + service }

// credentialKey returns the key of a stream by the credential of its caller. No key of a tenant equals it: the fields of these have no zero
// bytes and are two.
func credentialKey(credential, id string) Key { return hashFields("", "credential", credential, id) }
