package jsonsplit_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/clovertiller/clovertiller/internal/jsonsplit"
	"github.com/clovertiller/clovertiller/internal/lab/testkit"
)

// drawSpace draws white space that may stand between the tokens of a JSON text.
func drawSpace(t *rapid.T) string {
	return rapid.StringOfN(rapid.RuneFrom([]rune(" \t\n\r")), 0, 2, -1).Draw(t, "space")
}

// drawString draws the JSON text of a string, with escapes.
func drawString(t *rapid.T) string {
	text := rapid.StringOf(rapid.RuneFrom([]rune("ab\"\\/[]{},: \n\u00e9\u2028\U0001f600"))).Draw(t, "text")
	encoded, err := json.Marshal(text)
	if err != nil {
		t.Fatal(err)
	}
	return string(encoded)
}

// drawValue draws a JSON text of at most the given number of levels.
func drawValue(t *rapid.T, levels int) string {
	kinds := []string{"string", "number", "literal"}
	if levels > 0 {
		kinds = append(kinds, "array", "object")
	}
	switch rapid.SampledFrom(kinds).Draw(t, "kind") {
	case "string":
		return drawString(t)
	case "number":
		return rapid.SampledFrom([]string{"0", "-1", "1e999", "12.5", "18446744073709551616"}).Draw(t, "number")
	case "array":
		return drawArray(t, levels)
	case "object":
		return drawObject(t, levels)
	}
	return rapid.SampledFrom([]string{"null", "true", "false"}).Draw(t, "literal")
}

func drawArray(t *rapid.T, levels int) string {
	return "[" + drawParts(t, func() string { return drawValue(t, levels-1) }) + "]"
}

func drawObject(t *rapid.T, levels int) string {
	return "{" + drawParts(t, func() string {
		return drawString(t) + drawSpace(t) + ":" + drawSpace(t) + drawValue(t, levels-1)
	}) + "}"
}

// drawParts draws the parts of an array or object with spaces around them.
func drawParts(t *rapid.T, part func() string) string {
	var parts []string
	for range rapid.IntRange(0, 3).Draw(t, "parts") {
		parts = append(parts, drawSpace(t)+part()+drawSpace(t))
	}
	if len(parts) == 0 {
		return drawSpace(t)
	}
	return strings.Join(parts, ",")
}

// Guards against an object of a valid response that is lost, cut or joined with the next one.
func TestValidTextsAreSplitLikeEncodingJSONDecodesThem(t *testing.T) {
	testkit.SetRapidDefaults(2000)
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		array := drawSpace(t) + drawArray(t, 4) + drawSpace(t)
		var want []json.RawMessage
		g.Expect(json.Unmarshal([]byte(array), &want)).To(Succeed())
		elements, err := jsonsplit.Elements([]byte(array))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(elements).To(Equal(want))
		object := drawSpace(t) + drawObject(t, 4) + drawSpace(t)
		var wantMembers map[string]json.RawMessage
		g.Expect(json.Unmarshal([]byte(object), &wantMembers)).To(Succeed())
		members, err := jsonsplit.Members([]byte(object))
		g.Expect(err).NotTo(HaveOccurred())
		names := map[string]bool{}
		for _, member := range members {
			var name string
			g.Expect(json.Unmarshal(member.Key, &name)).To(Succeed())
			g.Expect(jsonsplit.Find(members, name)).To(Equal(wantMembers[name]), "the last member with the key")
			names[name] = true
		}
		g.Expect(names).To(HaveLen(len(wantMembers)))
	})
}

// Guards against a response that was cut at any byte and is taken for a whole one with fewer objects.
func TestCutTextsAreNotSplit(t *testing.T) {
	testkit.SetRapidDefaults(500)
	rapid.Check(t, func(t *rapid.T) {
		array, object := drawArray(t, 3), drawObject(t, 3)
		for end := range len(array) {
			if _, err := jsonsplit.Elements([]byte(array[:end])); err == nil {
				t.Fatalf("%q, cut after byte %d, is split", array, end)
			}
		}
		for end := range len(object) {
			if _, err := jsonsplit.Members([]byte(object[:end])); err == nil {
				t.Fatalf("%q, cut after byte %d, is split", object, end)
			}
		}
	})
}

// Guards against an invalid element that makes the others unreadable, and against a crash or endless loop because of one.
func TestInvalidElementsAreSplitFromOthers(t *testing.T) {
	deep := 1 << 18
	for name, odd := range map[string]string{
		"deep arrays": strings.Repeat("[", deep) + strings.Repeat("]", deep), "deep objects": strings.Repeat(`{"a":`, deep) + "1" + strings.Repeat("}", deep),
		"control characters": "\"a\x00\n\xff\"", "no literal": "nothing", "two values": `1 {"a":2}`, "empty": "", "no value": `{"a":}`, "no key": `{1:2}`,
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			elements, err := jsonsplit.Elements([]byte(fmt.Sprintf(` [{"a":1}, %s ,{"b":2}] `, odd)))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(elements).To(HaveLen(3))
			g.Expect(string(elements[0]) + string(elements[2])).To(Equal(`{"a":1}{"b":2}`))
			g.Expect(string(elements[1]) == odd).To(BeTrue())
		})
	}
}

// Guards against a crash on any text, and against a list of which a part is taken for the whole.
func TestTextsThatAreNoArrayOrObjectAreNotSplit(t *testing.T) {
	g := NewWithT(t)
	for _, text := range []string{"", " ", "null", "7", `"[]"`, "[", "]", "{", "}", "[}", "{]", "[]]", "[1]x", `{"a":1}}`, `{"a"}`, `{"a":[}`, `{"a":[}]`, `{,}`, `{"a":1,}`, `["a]`, `["\"]`, `["\`, `[{"a":1]]`, `[[1}]`} {
		_, err := jsonsplit.Elements([]byte(text))
		g.Expect(err).To(HaveOccurred(), "%q", text)
		_, err = jsonsplit.Members([]byte(text))
		g.Expect(err).To(HaveOccurred(), "%q", text)
	}
	testkit.SetRapidDefaults(2000)
	rapid.Check(t, func(t *rapid.T) {
		text := []byte(rapid.StringOf(rapid.RuneFrom([]rune(`[]{},:"\ a1`))).Draw(t, "text"))
		_, arrayErr := jsonsplit.Elements(text)
		_, objectErr := jsonsplit.Members(text)
		if json.Valid(text) && arrayErr != nil && objectErr != nil && strings.ContainsAny(string(text[0]), "[{") {
			t.Fatalf("%q is valid but not split: %v, %v", text, arrayErr, objectErr)
		}
	})
}
