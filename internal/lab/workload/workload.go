// Package workload generates the users' two kinds of traffic: catch-up of radio
// shows and review of card purchases. A generator is a pure function of its
// seed; it has no I/O and no clock.
package workload

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/clovertiller/clovertiller/internal/prompt"
)

// Kind names a workload.
type Kind string

// The workloads.
const (
	// CatchUp has prefixes nested by station, show, episode and chapter.
	CatchUp Kind = "catch-up"
	// CardReview has prefixes nested by carrier, station and policy; its holds
	// may not be repeated.
	CardReview Kind = "card-review"
)

// Request is one generated request.
type Request struct {
	Workload Kind
	Tenant   string
	Model    string
	// Class tells requests of one workload apart, for reports.
	Class string
	// System is the shared part of the prompt, User the own part.
	System       string
	User         string
	MaxTokens    int
	Unrepeatable bool
	// Batch marks overnight work, which has a deadline and no strict first token.
	Batch bool
}

// Prompt returns the text that the engine completes.
func (r Request) Prompt() string {
	return prompt.Render([]prompt.Message{{Role: "system", Text: r.System}, {Role: "user", Text: r.User}})
}

// Sizes of the parts of prompts, in bytes.
type Sizes struct {
	Station, Show, Episode, Chapter int
	Carrier, Site, Policy           int
	Question                        int
}

// DefaultSizes give prompts of 1,500 to 4,500 tokens.
func DefaultSizes() Sizes {
	return Sizes{
		Station: 1024, Show: 2048, Episode: 12288, Chapter: 2048,
		Carrier: 4096, Site: 1024, Policy: 2048, Question: 160,
	}
}

// SmallSizes give prompts of 250 to 500 tokens, for demonstrations.
func SmallSizes() Sizes {
	return Sizes{Station: 256, Show: 256, Episode: 768, Chapter: 256, Carrier: 512, Site: 256, Policy: 256, Question: 80}
}

// Settings shape a generator.
type Settings struct {
	Sizes Sizes
	// CatchUpShare is the share of catch-up requests, 0 to 1.
	CatchUpShare float64
	// BatchShare is the share of catch-up requests that are overnight summaries.
	BatchShare float64
	// HotShare is the share of each workload's requests that go to its hot prefix.
	HotShare float64
	// HoldShare is the share of card reviews that are holds.
	HoldShare float64
	Tenants   int
	MaxTokens int
}

// DefaultSettings returns a mix of both workloads.
func DefaultSettings() Settings {
	return Settings{Sizes: DefaultSizes(), CatchUpShare: 0.6, BatchShare: 0.3, HotShare: 0.25, HoldShare: 0.5, Tenants: 8, MaxTokens: 48}
}

// Counts of names at each level of the prefixes.
const (
	stations = 3
	shows    = 12
	episodes = 20
	chapters = 8
	carriers = 12
	sites    = 10
	policies = 4
)

// Generator makes requests.
type Generator struct {
	settings Settings
	random   *rand.Rand
	tenants  *rand.Zipf
	shows    *rand.Zipf
	episodes *rand.Zipf
	carriers *rand.Zipf
	number   int
	// shift moves the popular prefixes to other names.
	shift int
}

// NewGenerator returns a generator of the seed.
func NewGenerator(settings Settings, seed uint64) *Generator {
	random := rand.New(rand.NewPCG(seed, 0x5eed))
	return &Generator{
		settings: settings,
		random:   random,
		tenants:  rand.NewZipf(random, 1.4, 1, uint64(settings.Tenants-1)),
		shows:    rand.NewZipf(random, 1.2, 1, shows-1),
		episodes: rand.NewZipf(random, 1.3, 1, episodes-1),
		carriers: rand.NewZipf(random, 1.3, 1, carriers-1),
	}
}

// Shift makes other prefixes the popular and hot ones, without warning.
func (g *Generator) Shift() { g.shift += 7 }

// Next returns the next request.
func (g *Generator) Next() Request {
	g.number++
	if g.random.Float64() < g.settings.CatchUpShare {
		return g.catchUp()
	}
	return g.cardReview()
}

func (g *Generator) catchUp() Request {
	sizes := g.settings.Sizes
	tenant := int(g.tenants.Uint64())
	show := (int(g.shows.Uint64()) + g.shift) % shows
	episode := (int(g.episodes.Uint64()) + g.shift) % episodes
	if g.random.Float64() < g.settings.HotShare {
		tenant, show, episode = 0, g.shift%shows, g.shift%episodes
	}
	station := show % stations
	request := Request{Workload: CatchUp, Tenant: fmt.Sprintf("radio-%d", tenant), Model: "penyiar-lm", Class: "question", MaxTokens: g.settings.MaxTokens}
	request.System = filler("station", sizes.Station, station) + filler("show", sizes.Show, station, show) + filler("episode", sizes.Episode, station, show, episode)
	if g.random.Float64() < g.settings.BatchShare {
		request.Batch, request.Class = true, "summary"
		chapter := g.random.IntN(chapters)
		request.System += filler("chapter", sizes.Chapter, station, show, episode, chapter)
		request.User = fmt.Sprintf("Summarise chapter %d as notes. Take %d.", chapter, g.number)
		return request
	}
	request.User = g.question("Which part of the show answers this?")
	return request
}

func (g *Generator) cardReview() Request {
	sizes := g.settings.Sizes
	carrier := (int(g.carriers.Uint64()) + g.shift) % carriers
	site, policy := g.random.IntN(sites), g.random.IntN(policies)
	if g.random.Float64() < g.settings.HotShare {
		carrier, policy = g.shift%carriers, 0
	}
	request := Request{Workload: CardReview, Tenant: fmt.Sprintf("cards-%d", carrier%g.settings.Tenants), Model: "llm-examen", Class: "review", MaxTokens: g.settings.MaxTokens / 2}
	request.System = filler("carrier", sizes.Carrier, carrier) + filler("policy", sizes.Policy, carrier, policy) + filler("site", sizes.Site, carrier, policy, site)
	request.User = g.question("Review this purchase.")
	if g.random.Float64() < g.settings.HoldShare {
		request.Unrepeatable, request.Class = true, "hold"
	}
	return request
}

func (g *Generator) question(start string) string {
	text := fmt.Sprintf("%s Number %d, code %d.", start, g.number, g.random.Uint32())
	return text + strings.Repeat(" ?", max(g.settings.Sizes.Question-len(text), 0)/2)
}

// filler returns text of the given length that depends on the names only.
func filler(level string, length int, names ...int) string {
	unit := level
	for _, name := range names {
		unit += fmt.Sprintf("-%d", name)
	}
	unit += " notes and rules; "
	return strings.Repeat(unit, length/len(unit)+1)[:length]
}
