// Package jsonsplit splits a JSON array or object into its direct parts without decoding them. A part that
// encoding/json rejects, such as one with too many levels of nesting, does not affect the others.
//
// The whole text is scanned in one pass, without recursion. Strings must be closed and brackets balanced, so no proper
// prefix of an array or object is split.
package jsonsplit

import (
	"bytes"
	"encoding/json"

	"github.com/gravitational/trace"
)

// Member is a member of an object.
type Member struct {
	// Key is the key as it stands in the text, with quotes and escapes.
	Key json.RawMessage
	// Value is not validated. It is empty if there is no value.
	Value json.RawMessage
}

// Elements returns the elements of the array. They are not validated and may be empty.
func Elements(array []byte) ([]json.RawMessage, error) {
	s := &scanner{text: array}
	elements := []json.RawMessage{}
	err := s.split('[', ']', func() error {
		value, err := s.value()
		elements = append(elements, value)
		return err
	})
	if err != nil {
		return nil, err
	}
	return elements, nil
}

// Members returns the members of the object in the order of the text, with repeated keys.
func Members(object []byte) ([]Member, error) {
	s := &scanner{text: object}
	members := make([]Member, 0, usualMembers)
	err := s.split('{', '}', func() error {
		member, err := s.member()
		members = append(members, member)
		return err
	})
	if err != nil {
		return nil, err
	}
	return members, nil
}

// Find returns the value of the last member with the key, as most decoders do, or nil if there is none. Keys are
// compared exactly; the key must need no escapes.
func Find(members []Member, key string) json.RawMessage {
	for i := len(members) - 1; i >= 0; i-- {
		if members[i].hasKey(key) {
			return members[i].Value
		}
	}
	return nil
}

// FindElements returns the elements of the array with the key, none if there is no such array.
func FindElements(members []Member, key string) ([]json.RawMessage, error) {
	array := Find(members, key)
	if array == nil || string(array) == "null" {
		return nil, nil
	}
	return Elements(array)
}

func (m Member) hasKey(key string) bool {
	if unquoted := m.Key[1 : len(m.Key)-1]; bytes.IndexByte(unquoted, '\\') < 0 {
		return string(unquoted) == key
	}
	var decoded string
	return json.Unmarshal(m.Key, &decoded) == nil && decoded == key
}

// usualMembers is the number of members for which memory is reserved.
const usualMembers = 6

// scanner reads the text of an array or object from the position on.
type scanner struct {
	text     []byte
	position int
	// open holds the closing brackets of the nested arrays and objects of the current value.
	open []byte
}

// split reads the array or object, and each of its parts by calling part.
func (s *scanner) split(opening, closing byte, part func() error) error {
	s.skipSpace()
	if err := s.expect(opening); err != nil {
		return err
	}
	if s.skipSpace(); s.isAt(closing) {
		return s.close()
	}
	for {
		if err := part(); err != nil {
			return err
		}
		if s.isAt(closing) {
			return s.close()
		}
		if err := s.expect(','); err != nil {
			return err
		}
	}
}

// close ends the text at its closing bracket.
func (s *scanner) close() error {
	s.position++
	if s.skipSpace(); s.position < len(s.text) {
		return s.unexpected()
	}
	return nil
}

func (s *scanner) isAt(char byte) bool { return s.position < len(s.text) && s.text[s.position] == char }

func (s *scanner) expect(char byte) error {
	if !s.isAt(char) {
		return s.unexpected()
	}
	s.position++
	return nil
}

func (s *scanner) unexpected() error {
	if s.position >= len(s.text) {
		return trace.BadParameter("unexpected end of JSON text after %d bytes", len(s.text))
	}
	return trace.BadParameter("unexpected character %q in JSON text at byte %d", s.text[s.position], s.position)
}

func (s *scanner) skipSpace() {
	for s.position < len(s.text) && isSpace(s.text[s.position]) {
		s.position++
	}
}

func isSpace(char byte) bool { return char == ' ' || char == '\t' || char == '\n' || char == '\r' }

func (s *scanner) member() (member Member, err error) {
	s.skipSpace()
	start := s.position
	if !s.isAt('"') {
		return member, s.unexpected()
	}
	if err := s.skipString(); err != nil {
		return member, err
	}
	member.Key = s.text[start:s.position]
	s.skipSpace()
	if err := s.expect(':'); err != nil {
		return member, err
	}
	member.Value, err = s.value()
	return member, err
}

// value returns the text up to the comma or closing bracket that ends a part of the array or object, without the space
// around it.
func (s *scanner) value() (json.RawMessage, error) {
	s.skipSpace()
	text, start, open := s.text, s.position, s.open[:0]
	for i := start; i < len(text); i++ {
		switch char := text[i]; char {
		case '"':
			i = EndOfString(text, i) - 1
		case '[':
			open = append(open, ']')
		case '{':
			open = append(open, '}')
		case ',', ']', '}':
			switch {
			case len(open) == 0:
				s.position, s.open = i, open
				return bytes.TrimRight(text[start:i], " \t\n\r"), nil
			case char == ',':
			case open[len(open)-1] != char:
				s.position = i
				return nil, s.unexpected()
			default:
				open = open[:len(open)-1]
			}
		}
	}
	s.position = len(text)
	return nil, s.unexpected()
}

// skipString skips the string that begins at the position.
func (s *scanner) skipString() error {
	if s.position = EndOfString(s.text, s.position); s.position > len(s.text) {
		return s.unexpected()
	}
	return nil
}

// EndOfString returns the position after the string that begins at the start, more than the length of the text if it is not
// closed.
func EndOfString(text []byte, start int) int {
	for i := start + 1; i < len(text); i++ {
		switch text[i] {
		case '"':
			return i + 1
		case '\\':
			i++
		}
	}
	return len(text) + 1
}
