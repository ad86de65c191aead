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

// LookupKeys returns the keys under which a stream may be recorded that the caller may take up, in the order in which they are to be looked
// up. The caller's own records come first, by its tenant and by its credential, and among them those of the services. Records of
// anonymous callers, whose streams belong to nobody, must not hide them.
func (c Caller) LookupKeys(id string, services []string) (keys []Key) {
	var ids []string
	for _, service := range services {
		ids = append(ids, serviceID(id, service))
	}
	ids = append(ids, id)
	for _, name := range ids {
		key, alias := c.RecordKeys(name)
		keys = append(keys, Record{Key: key, Alias: alias}.keys()...)
	}
	if c.Tenant == "" {
		return keys
	}
	for _, name := range ids {
		keys = append(keys, NewKey("", name))
	}
	return keys
}

// ServiceRecordKeys returns the keys of the record of the stream at a service where it did not begin, as its route has moved there.
func (c Caller) ServiceRecordKeys(id, service string) (key, alias Key) {
	return c.RecordKeys(serviceID(id, service))
}

// serviceID returns an ID that no caller can send.
func serviceID(id, service string) string { return id + "\x00" + service }

// credentialKey returns the key of a stream by the credential of its caller. No key of a tenant equals it: the fields of these have no zero
// bytes and are two.
func credentialKey(credential, id string) Key { return hashFields("", "credential", credential, id) }
