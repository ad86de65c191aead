package node

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/uuid"
	. "github.com/onsi/gomega"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/attempt"
	"github.com/clovertiller/clovertiller/internal/config"
	"github.com/clovertiller/clovertiller/internal/engineapi"
)

func testNode() *Node {
	settings := Settings{}
	settings.SetDefaults()
	settings.Limits.MaxBodyBytes = 4096
	return &Node{settings: settings}
}

func testSnapshot() *config.Snapshot {
	return &config.Snapshot{
		Revision: 1,
		Models:   map[string]*v1.ModelSpec{"m": {Pool: "p", ContextTokens: 500}, "closed": {Pool: "p", ContextTokens: 500}},
		Adapters: map[string]*v1.AdapterSpec{"a": {Model: "m"}},
	}
}

// parseChat parses a chat request of a tenant that may use only model m.
func parseChat(body string, header http.Header) (*completionRequest, *apiError) {
	request := httptest.NewRequest(http.MethodPost, PathChat, strings.NewReader(body))
	for name, values := range header {
		request.Header[name] = values
	}
	tenant := &config.Tenant{Name: "t", Spec: &v1.TenantSpec{Models: []string{"m"}}}
	return testNode().parseRequest(request, tenant, testSnapshot(), engineapi.FormatChat)
}

// validBody is a chat request that testSnapshot and the tenant of parseChat allow.
const validBody = `{"model":"m","messages":[{"role":"user","content":"hello"}],"max_tokens":5}`

func TestParseErrorNamesInvalidField(t *testing.T) {
	cases := []struct {
		name, body         string
		header             http.Header
		status             int
		param, wantMessage string
	}{
		{"broken JSON", `{"model":`, nil, 400, "body", "not valid JSON"},
		{"wrong type", `{"model":7}`, nil, 400, "model", "must be a string"},
		{"no model", `{}`, nil, 400, "model", "required"},
		{"unknown model", `{"model":"x"}`, nil, 404, "model", "does not exist"},
		{"unknown adapter", `{"model":"m:b"}`, nil, 404, "model", "does not exist"},
		{"model not allowed", `{"model":"closed"}`, nil, 403, "model", "not open"},
		{"no messages", `{"model":"m"}`, nil, 400, "messages", "at least one"},
		{"no role", `{"model":"m","messages":[{"content":"x"}]}`, nil, 400, "messages[0].role", "required"},
		{"bad content", `{"model":"m","messages":[{"role":"user","content":5}]}`, nil, 400, "messages[0].content", "string"},
		{"zero max_tokens", `{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":0}`, nil, 400, "max_tokens", "above 0"},
		{"n above 1", `{"model":"m","messages":[{"role":"user","content":"x"}],"n":2}`, nil, 400, "n", "must be 1"},
		{"over the context length", `{"model":"m","messages":[{"role":"user","content":"` + strings.Repeat("x", 2000) + `"}]}`, nil, 400, "prompt", "context of 500"},
		{"over the body limit", `{"model":"` + strings.Repeat("x", 5000) + `"}`, nil, 413, "body", "over 4096 bytes"},
		{"unrepeatable without key", strings.Replace(validBody, "{", `{"repeatable":false,`, 1), nil, 400, "Idempotency-Key", "needs a key"},
		{"key without issue time", validBody, http.Header{"Idempotency-Key": {"hold-1"}}, 400, "Idempotency-Key", "UUIDv7"},
		{"bad issue time", validBody, http.Header{"Idempotency-Key": {"hold-1"}, "X-Clovertiller-Issued-At": {"now"}}, 400, "X-Clovertiller-Issued-At", "RFC 3339"},
		{"bad repeatable", validBody, http.Header{"X-Clovertiller-Repeatable": {"perhaps"}}, 400, "X-Clovertiller-Repeatable", "true or false"},
		{"bad deadline", validBody, http.Header{"X-Clovertiller-Deadline-Ms": {"-1"}}, 400, "X-Clovertiller-Deadline-Ms", "milliseconds"},
		{"long key", validBody, http.Header{"Idempotency-Key": {strings.Repeat("k", 200)}}, 400, "Idempotency-Key", "over 128 bytes"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			_, failure := parseChat(c.body, c.header)
			g.Expect(failure).NotTo(BeNil())
			g.Expect(failure.status).To(Equal(c.status))
			g.Expect(failure.param).To(Equal(c.param))
			g.Expect(failure.message).To(ContainSubstring(c.wantMessage))
			g.Expect(failure.runState).To(Equal(attempt.NotRun))
		})
	}
}

func TestSetRepeatable(t *testing.T) {
	key := uuid.Must(uuid.NewV7()).String()
	cases := []struct {
		name       string
		body       string
		header     http.Header
		repeatable bool
	}{
		{"by default", validBody, nil, true},
		{"a key only", validBody, http.Header{"Idempotency-Key": {key}}, false},
		{"a key and the header set to true", validBody, http.Header{"Idempotency-Key": {key}, "X-Clovertiller-Repeatable": {"true"}}, true},
		{"a key and the field set to false", strings.Replace(validBody, "{", `{"repeatable":false,`, 1), http.Header{"Idempotency-Key": {key}}, false},
		{"a key that is not a UUIDv7, with its issue time", validBody, http.Header{"Idempotency-Key": {"hold-1"}, "X-Clovertiller-Issued-At": {"2026-01-02T03:04:05Z"}}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			parsed, failure := parseChat(c.body, c.header)
			g.Expect(failure).To(BeNil())
			g.Expect(parsed.repeatable).To(Equal(c.repeatable))
			g.Expect(parsed.issuedAt.IsZero()).To(Equal(c.repeatable))
		})
	}
}

func TestContentPartsAreConcatenated(t *testing.T) {
	g := NewWithT(t)
	parsed, failure := parseChat(`{"model":"m:a","messages":[{"role":"user","content":[{"type":"text","text":"he"},{"type":"text","text":"llo"}]}],"max_completion_tokens":3}`, nil)
	g.Expect(failure).To(BeNil())
	g.Expect(parsed.prompt).To(Equal("<|user|>\nhello\n<|assistant|>\n"))
	g.Expect(parsed.adapter).To(Equal("a"))
	g.Expect(parsed.maxTokens).To(Equal(3))
}

func FuzzParseRequest(f *testing.F) {
	f.Add(validBody)
	f.Add(`{"model":"m","messages":[{"role":"user","content":[{"type":"text"}]}],"stream":true,"stream_options":{}}`)
	f.Fuzz(func(t *testing.T, body string) {
		parsed, failure := parseChat(body, nil)
		if (parsed == nil) == (failure == nil) {
			t.Fatal("exactly one of the request and the error must be set")
		}
	})
}

func TestEscapedTextOfChunks(t *testing.T) {
	g := NewWithT(t)
	var text []byte
	for _, chunk := range []string{
		`{"id":"x","choices":[{"delta":{"content":"a \"b\" "}}]}`,
		`{"choices":[{"index":0,"text":"\\\u00e9\n"}]}`,
		`{"choices":[{"delta":{}}]}`,
	} {
		part, isWhole := escapedText([]byte(chunk))
		g.Expect(isWhole).To(BeTrue())
		text = append(text, part...)
	}
	g.Expect(unescapeJSON(text)).To(Equal("a \"b\" \\é\n"))
}

func TestCheckReportsEveryInvalidSetting(t *testing.T) {
	g := NewWithT(t)
	settings := Settings{HTTPAddress: "here", Seeds: []string{"there"}, LogLevel: "loud"}
	problems := settings.Check()
	g.Expect(problems).To(ContainElements(
		"node: is required", "zone: is required", `httpAddress: must be IP:port, got "here"`,
		`seeds[0]: must be IP:port, got "there"`, `logLevel: must be debug, info, warn or error, got "loud"`,
	))
}
