// Package workload generates requests like those of the users' two workloads: questions about
// radio shows for listeners who catch up, and reviews of card purchases. The requests are a pure
// function of the settings and the seed; there is no I/O and no clock.
package workload

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/clovertiller/clovertiller/internal/prompt"
)

// Kind is the name of a workload.
type Kind string

// The workloads.
const (
	// CatchUp consists of questions about radio shows and summaries of their chapters. Its
	// prompts share prefixes by station, show, episode and chapter, in that order.
	CatchUp Kind = "catch-up"
	// CardReview consists of reviews of card purchases. Its prompts share prefixes by carrier,
	// policy and site, in that order. The reviews that place a hold are unrepeatable.
	CardReview Kind = "card-review"
)

// Request is a generated request.
type Request struct {
	Workload Kind
	Tenant   string
	Model    string
	// Class is the kind of request within its workload, by which reports group the results.
	Class string
	// System is the system message, which requests share, and User the request's own message.
	System    string
	User      string
	MaxTokens int
	// Unrepeatable requests must not run more than once.
	Unrepeatable bool
	// Batch marks overnight work. It has a deadline, but its time to the first token doesn't
	// matter.
	Batch bool
}

// Prompt returns the rendered prompt that the engine completes.
func (r Request) Prompt() string {
	return prompt.Render([]prompt.Message{{Role: "system", Text: r.System}, {Role: "user", Text: r.User}})
}

// Sizes holds the sizes of the parts of prompts, in bytes.
type Sizes struct {
	Station, Show, Episode, Chapter int
	Carrier, Site, Policy           int
	Question                        int
}

// DefaultSizes returns sizes that give prompts of 1,500 to 4,500 tokens.
func DefaultSizes() Sizes {
	return Sizes{
		Station: 1024, Show: 2048, Episode: 12288, Chapter: 2048,
		Carrier: 4096, Site: 1024, Policy: 2048, Question: 160,
	}
}

// SmallSizes returns sizes that give prompts of 250 to 500 tokens, for demonstrations.
func SmallSizes() Sizes {
	return Sizes{Station: 256, Show: 256, Episode: 768, Chapter: 256, Carrier: 512, Site: 256, Policy: 256, Question: 80}
}

// Settings configures a generator.
type Settings struct {
	Sizes Sizes
	// CatchUpShare is the share of CatchUp requests, 0 to 1; the others are of CardReview.
	CatchUpShare float64
	// BatchShare is the share of CatchUp requests that are overnight summaries.
	BatchShare float64
	// HotShare is the share of each workload's requests that always use the same prefix, the
	// hot one.
	HotShare float64
	// HoldShare is the share of CardReview requests that place a hold and are unrepeatable.
	HoldShare float64
	Tenants   int
	MaxTokens int
}

// DefaultSettings returns the settings of a mix of both workloads.
func DefaultSettings() Settings {
	return Settings{Sizes: DefaultSizes(), CatchUpShare: 0.6, BatchShare: 0.3, HotShare: 0.25, HoldShare: 0.5, Tenants: 8, MaxTokens: 48}
}

// Number of distinct values at each level of the prefixes.
const (
	stationCount = 3
	showCount    = 12
	episodeCount = 20
	chapterCount = 8
	carrierCount = 12
	siteCount    = 10
	policyCount  = 4
)

// Generator generates requests. Tenants, shows, episodes and carriers are Zipf-distributed.
type Generator struct {
	settings     Settings
	random       *rand.Rand
	tenants      *rand.Zipf
	shows        *rand.Zipf
	episodes     *rand.Zipf
	carriers     *rand.Zipf
	requestCount int
	// popularityShift is added to the indexes of shows, episodes and carriers, so that others
	// become the popular ones.
	popularityShift int
}

// NewGenerator returns a generator with the given settings and seed.
func NewGenerator(settings Settings, seed uint64) *Generator {
	random := rand.New(rand.NewPCG(seed, 0x5eed))
	return &Generator{
		settings: settings,
		random:   random,
		tenants:  rand.NewZipf(random, 1.4, 1, uint64(settings.Tenants-1)),
		shows:    rand.NewZipf(random, 1.2, 1, showCount-1),
		episodes: rand.NewZipf(random, 1.3, 1, episodeCount-1),
		carriers: rand.NewZipf(random, 1.3, 1, carrierCount-1),
	}
}

// ShiftPopularity abruptly makes other prefixes the popular and hot ones.
func (g *Generator) ShiftPopularity() { g.popularityShift += 7 }

// Next returns the next request.
func (g *Generator) Next() Request {
	g.requestCount++
	if g.random.Float64() < g.settings.CatchUpShare {
		return g.catchUp()
	}
	return g.cardReview()
}

func (g *Generator) catchUp() Request {
	sizes := g.settings.Sizes
	tenant := int(g.tenants.Uint64())
	show := (int(g.shows.Uint64()) + g.popularityShift) % showCount
	episode := (int(g.episodes.Uint64()) + g.popularityShift) % episodeCount
	if g.random.Float64() < g.settings.HotShare {
		tenant, show, episode = 0, g.popularityShift%showCount, g.popularityShift%episodeCount
	}
	station := show % stationCount
	request := Request{Workload: CatchUp, Tenant: fmt.Sprintf("radio-%d", tenant), Model: "penyiar-lm", Class: "question", MaxTokens: g.settings.MaxTokens}
	request.System = fillerText("station", sizes.Station, station) + fillerText("show", sizes.Show, station, show) + fillerText("episode", sizes.Episode, station, show, episode)
	if g.random.Float64() < g.settings.BatchShare {
		request.Batch, request.Class = true, "summary"
		chapter := g.random.IntN(chapterCount)
		request.System += fillerText("chapter", sizes.Chapter, station, show, episode, chapter)
		request.User = fmt.Sprintf("Summarise chapter %d as notes. Take %d.", chapter, g.requestCount)
		return request
	}
	request.User = g.newQuestion("Which part of the show answers this?")
	return request
}

func (g *Generator) cardReview() Request {
	sizes := g.settings.Sizes
	carrier := (int(g.carriers.Uint64()) + g.popularityShift) % carrierCount
	site, policy := g.random.IntN(siteCount), g.random.IntN(policyCount)
	if g.random.Float64() < g.settings.HotShare {
		carrier, policy = g.popularityShift%carrierCount, 0
	}
	request := Request{Workload: CardReview, Tenant: fmt.Sprintf("cards-%d", carrier%g.settings.Tenants), Model: "llm-examen", Class: "review", MaxTokens: g.settings.MaxTokens / 2}
	request.System = fillerText("carrier", sizes.Carrier, carrier) + fillerText("policy", sizes.Policy, carrier, policy) + fillerText("site", sizes.Site, carrier, policy, site)
	request.User = g.newQuestion("Review this purchase.")
	if g.random.Float64() < g.settings.HoldShare {
		request.Unrepeatable, request.Class = true, "hold"
	}
	return request
}

// newQuestion returns a user message that differs for each request and is padded to the
// configured size.
func (g *Generator) newQuestion(instruction string) string {
	text := fmt.Sprintf("%s Number %d, code %d.", instruction, g.requestCount, g.random.Uint32())
	return text + strings.Repeat(" ?", max(g.settings.Sizes.Question-len(text), 0)/2)
}

// fillerText returns text of the given length in bytes that depends only on the level and the
// indexes.
func fillerText(level string, length int, indexes ...int) string {
	unit := level
	for _, index := range indexes {
		unit += fmt.Sprintf("-%d", index)
	}
	unit += " notes and rules; "
	return strings.Repeat(unit, length/len(unit)+1)[:length]
}
