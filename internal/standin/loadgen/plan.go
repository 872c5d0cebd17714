package loadgen

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// planned is one request of a run.
type planned struct {
	// at is when to send it, from the start of the run.
	at     time.Duration
	target string
	// path and body are what is sent.
	path   string
	body   []byte
	stream bool
	// key is the idempotency key of a booking, empty for a generation; other is
	// the target of its repetition, empty without one.
	key, other string
}

// zipfSkew makes the first of 50 models get about a fifth of the requests.
const zipfSkew = 1.1

// planner makes a run's requests one by one. The same seed makes the same ones.
type planner struct {
	settings Settings
	random   *rand.Rand
	popular  *rand.Zipf
	made     int
	// nextSingle and nextBurst are when the next of each comes.
	nextSingle, nextBurst time.Duration
	// burstLeft requests of the running burst ask for burstModel.
	burstLeft  int
	burstModel string
}

func newPlanner(settings Settings) *planner {
	random := rand.New(rand.NewPCG(settings.Seed, 0))
	p := &planner{
		settings: settings,
		random:   random,
		popular:  rand.NewZipf(random, zipfSkew, 1, uint64(len(settings.Models)-1)),
	}
	p.nextSingle = p.gap()
	p.nextBurst = settings.BurstInterval
	return p
}

// gap is the time to the next single request: arrivals are a Poisson process.
func (p *planner) gap() time.Duration {
	if p.settings.Rate <= 0 {
		return maxDuration
	}
	return time.Duration(p.random.ExpFloat64() / p.settings.Rate * float64(time.Second))
}

// next returns the next request; false at the end of the run.
func (p *planner) next() (planned, bool) {
	at, model := p.nextTime()
	if at >= p.settings.Duration || p.made >= p.settings.MaxRequests {
		return planned{}, false
	}
	p.made++
	request := planned{at: at, target: p.anyTarget()}
	if model == "" && p.random.Float64() < p.settings.ServiceShare {
		p.booking(&request)
		return request, true
	}
	if model == "" {
		model = p.settings.Models[p.popular.Uint64()]
	}
	p.generation(&request, model)
	return request, true
}

// nextTime is when the next request comes, and its model if it is of a burst.
func (p *planner) nextTime() (time.Duration, string) {
	bursts := p.settings.BurstSize > 0
	if bursts && p.burstLeft == 0 && p.nextBurst <= p.nextSingle {
		p.burstLeft = p.settings.BurstSize
		p.burstModel = p.settings.Models[p.random.IntN(len(p.settings.Models))]
	}
	if p.burstLeft > 0 {
		at := p.nextBurst
		p.burstLeft--
		if p.burstLeft == 0 {
			p.nextBurst += p.settings.BurstInterval
		}
		return at, p.burstModel
	}
	at := p.nextSingle
	p.nextSingle += p.gap()
	return at, ""
}

func (p *planner) anyTarget() string {
	return p.settings.Targets[p.random.IntN(len(p.settings.Targets))]
}

func (p *planner) booking(request *planned) {
	request.path = "/services/" + p.settings.Service + "/book"
	request.key = fmt.Sprintf("%016x%016x", p.random.Uint64(), p.random.Uint64())
	request.body = mustMarshal(booking{Slot: "slot-" + request.key[:4], Name: request.key})
	if len(p.settings.Targets) < 2 || p.random.Float64() >= p.settings.RepeatShare {
		return
	}
	for request.other == "" || request.other == request.target {
		request.other = p.anyTarget()
	}
}

func (p *planner) generation(request *planned, model string) {
	request.stream = p.random.Float64() < p.settings.StreamShare
	request.path = chatPath
	request.body = chatBody(model, p.prompt(model), p.settings.MaxTokens, request.stream)
}

// prompt has a first half that a model's requests share, as a system prompt,
// and a second half of its own.
func (p *planner) prompt(model string) []message {
	half := p.settings.PromptBytes / 2
	shared := strings.Repeat("The desk of "+model+". ", half)[:half]
	own := fmt.Sprintf("Question %d-%d. ", p.settings.Seed, p.random.Uint64())
	own = strings.Repeat(own, half/len(own)+1)
	return []message{{Role: "system", Content: shared}, {Role: "user", Content: own}}
}

const chatPath = "/v1/chat/completions"

type booking struct {
	Slot string `json:"slot"`
	Name string `json:"name"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

func chatBody(model string, messages []message, tokens int, stream bool) []byte {
	return mustMarshal(chatRequest{Model: model, Messages: messages, MaxTokens: tokens, Stream: stream})
}

func mustMarshal(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // the package's own types always marshal
	}
	return data
}
