package claim

import (
	"errors"
	"time"

	"github.com/google/uuid"
)

// ErrNoIssueTime means that a key has no issue time, because it is not a UUIDv7 (RFC 9562) and
// no issue time was sent with it.
var ErrNoIssueTime = errors.New("key is not a UUIDv7 and no issue time was sent with it")

// uuidVersion7 is the UUID version whose first 48 bits are a Unix timestamp in milliseconds.
const uuidVersion7 = 7

// IssueTime returns the time at which the key was issued. The key must be a UUIDv7; for any
// other key it returns ErrNoIssueTime.
func IssueTime(key string) (time.Time, error) {
	parsed, err := uuid.Parse(key)
	if err != nil || parsed.Version() != uuidVersion7 {
		return time.Time{}, ErrNoIssueTime
	}
	millis := int64(0)
	for _, b := range parsed[:6] {
		millis = millis<<8 | int64(b)
	}
	return time.UnixMilli(millis), nil
}
