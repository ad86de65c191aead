package claim

import (
	"errors"
	"time"

	"github.com/google/uuid"
)

// ErrKeyWithoutTime means that a key carries no issue time: it is not a UUIDv7
// (RFC 9562) and no issue time was sent beside it.
var ErrKeyWithoutTime = errors.New("key is not a UUIDv7 and no issue time was sent with it")

// uuidVersionWithTime is the UUID version whose first 48 bits are Unix milliseconds.
const uuidVersionWithTime = 7

// IssueTime returns when a key was made, read from a UUIDv7.
func IssueTime(key string) (time.Time, error) {
	parsed, err := uuid.Parse(key)
	if err != nil || parsed.Version() != uuidVersionWithTime {
		return time.Time{}, ErrKeyWithoutTime
	}
	millis := int64(0)
	for _, octet := range parsed[:6] {
		millis = millis<<8 | int64(octet)
	}
	return time.UnixMilli(millis), nil
}
