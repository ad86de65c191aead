package integrity

import (
	"bytes"

	"github.com/clovertiller/clovertiller/internal/jsonsplit"
)

// IsWholeObject reports whether the data is a JSON object and not only a part of one. Unlike json.Valid, it checks nothing else, so that
// documents can be passed on without the time to decode them.
func IsWholeObject(data []byte) bool {
	data = bytes.TrimSpace(data)
	if len(data) == 0 || data[0] != '{' {
		return false
	}
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '{', '[':
			depth++
		case '}', ']':
			depth--
			if depth == 0 {
				return i == len(data)-1
			}
		case '"':
			i = jsonsplit.EndOfString(data, i) - 1
		}
	}
	return false
}
