package integrity

import "bytes"

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
			i = endOfString(data, i+1)
		}
	}
	return false
}

// endOfString returns the index of the quote that ends the JSON string whose content begins at start, len(data) if there is none.
func endOfString(data []byte, start int) int {
	for i := start; i < len(data); i++ {
		switch data[i] {
		case '"':
			return i
		case '\\':
			i++
		}
	}
	return len(data)
}
