package enginemodel

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// vocabulary holds all output tokens. Some need escaping in JSON or more than one byte in UTF-8,
// so that tests of the relays cover both.
var vocabulary = []string{
	"alpha ", "beta ", "gamma ", "delta ", "epsilon ", "zeta ", "eta ", "theta ",
	"iota ", "kappa ", "lambda ", "mu ", "nu ", "xi ", "omicron ", "pi ",
	"\"quoted\" ", "back\\slash ", "line\n", "tab\t", "café ", "日本 ", "<tag> ", "a&b ",
}

// The natural length of an output is minOutputTokens to minOutputTokens+outputTokenRange-1 tokens.
const (
	minOutputTokens  = 8
	outputTokenRange = 57
)

// Prompt holds everything that an engine's output depends on: the output is a pure function of it.
type Prompt struct {
	Model         string
	Adapter       string
	WeightVersion string
	Text          string
}

// seed returns the hash from which the output is generated.
func (p Prompt) seed() uint64 {
	return xxhash.Sum64String(strings.Join([]string{p.Model, p.Adapter, p.WeightVersion, p.Text}, "\x00"))
}

// Token returns the output token at index i.
func (p Prompt) Token(i int) string { return tokenAt(p.seed(), i) }

func tokenAt(seed uint64, i int) string {
	hash := xxhash.Sum64String(strconv.FormatUint(seed, 16) + "/" + strconv.Itoa(i))
	return vocabulary[hash%uint64(len(vocabulary))]
}

// OutputLength returns the number of output tokens under the given limit, and whether the output
// ends naturally instead of at the limit.
func (p Prompt) OutputLength(maxTokens int) (tokens int, endsNaturally bool) {
	length := minOutputTokens + int(p.seed()%outputTokenRange)
	if length <= maxTokens {
		return length, true
	}
	return maxTokens, false
}

// Output returns the concatenated output tokens from index first up to, but not including, end.
func (p Prompt) Output(first, end int) string {
	seed := p.seed()
	var text strings.Builder
	for i := first; i < end; i++ {
		text.WriteString(tokenAt(seed, i))
	}
	return text.String()
}
