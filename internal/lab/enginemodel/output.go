package enginemodel

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// vocabulary holds the output tokens; some need escaping in JSON or more than
// one byte in UTF-8, so that relays are tested with them.
var vocabulary = []string{
	"alpha ", "beta ", "gamma ", "delta ", "epsilon ", "zeta ", "eta ", "theta ",
	"iota ", "kappa ", "lambda ", "mu ", "nu ", "xi ", "omicron ", "pi ",
	"\"quoted\" ", "back\\slash ", "line\n", "tab\t", "café ", "日本 ", "<tag> ", "a&b ",
}

// Bounds of the natural length of an answer, in tokens.
const (
	minAnswerTokens  = 8
	answerTokenRange = 57
)

// Prompt identifies what an answer is a pure function of.
type Prompt struct {
	Model         string
	Adapter       string
	WeightVersion string
	Text          string
}

func (p Prompt) seed() uint64 {
	return xxhash.Sum64String(strings.Join([]string{p.Model, p.Adapter, p.WeightVersion, p.Text}, "\x00"))
}

// Token returns output token i.
func (p Prompt) Token(i int) string { return tokenOf(p.seed(), i) }

func tokenOf(seed uint64, i int) string {
	number := xxhash.Sum64String(strconv.FormatUint(seed, 16) + "/" + strconv.Itoa(i))
	return vocabulary[number%uint64(len(vocabulary))]
}

// Length returns how many tokens the answer has under the given limit, and
// whether it ends by itself.
func (p Prompt) Length(maxTokens int) (tokens int, natural bool) {
	length := minAnswerTokens + int(p.seed()%answerTokenRange)
	if length <= maxTokens {
		return length, true
	}
	return maxTokens, false
}

// Output returns the output tokens from first up to last, not included, as one string.
func (p Prompt) Output(first, last int) string {
	seed := p.seed()
	var text strings.Builder
	for i := first; i < last; i++ {
		text.WriteString(tokenOf(seed, i))
	}
	return text.String()
}
