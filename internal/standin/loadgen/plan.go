package loadgen

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// plannedRequest describes one request of a run.
type plannedRequest struct {
	// offset is the time from the start of the run to the sending of the request.
	offset time.Duration
	target string
	// path and body are the URL path and the body of the request.
	path   string
	body   []byte
	stream bool
	// idempotencyKey is set for a booking and empty for a generation. repeatTarget
	// is a second target that gets the same booking; it is empty without a repetition.
	idempotencyKey, repeatTarget string
}

// zipfSkew gives the first of 50 models about a fifth of the requests.
const zipfSkew = 1.1

// planner generates the requests of a run one by one. The same seed generates the
// same requests.
type planner struct {
	settings     Settings
	random       *rand.Rand
	modelRank    *rand.Zipf
	plannedCount int
	// nextSingle and nextBurst are the offsets of the next single request and of
	// the next burst.
	nextSingle, nextBurst time.Duration
	// burstRemaining counts the requests left in the current burst, all for
	// burstModel.
	burstRemaining int
	burstModel     string
}

func newPlanner(settings Settings) *planner {
	random := rand.New(rand.NewPCG(settings.Seed, 0))
	p := &planner{
		settings:  settings,
		random:    random,
		modelRank: rand.NewZipf(random, zipfSkew, 1, uint64(len(settings.Models)-1)),
	}
	p.nextSingle = p.drawInterval()
	p.nextBurst = settings.BurstInterval
	return p
}

// drawInterval returns the time to the next single request. Arrivals form a
// Poisson process.
func (p *planner) drawInterval() time.Duration {
	if p.settings.Rate <= 0 {
		return maxDuration
	}
	return time.Duration(p.random.ExpFloat64() / p.settings.Rate * float64(time.Second))
}

// nextRequest returns the next request, or false at the end of the run.
func (p *planner) nextRequest() (plannedRequest, bool) {
	offset, model := p.nextArrival()
	if offset >= p.settings.Duration || p.plannedCount >= p.settings.MaxRequests {
		return plannedRequest{}, false
	}
	p.plannedCount++
	request := plannedRequest{offset: offset, target: p.pickTarget()}
	if model == "" && p.random.Float64() < p.settings.ServiceShare {
		p.planBooking(&request)
		return request, true
	}
	if model == "" {
		model = p.settings.Models[p.modelRank.Uint64()]
	}
	p.planGeneration(&request, model)
	return request, true
}

// nextArrival returns the offset of the next request and, for a request of a burst,
// its model.
func (p *planner) nextArrival() (time.Duration, string) {
	hasBursts := p.settings.BurstSize > 0
	if hasBursts && p.burstRemaining == 0 && p.nextBurst <= p.nextSingle {
		p.burstRemaining = p.settings.BurstSize
		p.burstModel = p.settings.Models[p.random.IntN(len(p.settings.Models))]
	}
	if p.burstRemaining > 0 {
		offset := p.nextBurst
		p.burstRemaining--
		if p.burstRemaining == 0 {
			p.nextBurst += p.settings.BurstInterval
		}
		return offset, p.burstModel
	}
	offset := p.nextSingle
	p.nextSingle += p.drawInterval()
	return offset, ""
}

func (p *planner) pickTarget() string {
	return p.settings.Targets[p.random.IntN(len(p.settings.Targets))]
}

// planBooking fills in a booking and, for a share of them, a second target.
func (p *planner) planBooking(request *plannedRequest) {
	request.path = "/services/" + p.settings.Service + "/book"
	request.idempotencyKey = fmt.Sprintf("%016x%016x", p.random.Uint64(), p.random.Uint64())
	request.body = mustMarshal(bookingRequest{Slot: "slot-" + request.idempotencyKey[:4], Name: request.idempotencyKey})
	if len(p.settings.Targets) < 2 || p.random.Float64() >= p.settings.RepeatShare {
		return
	}
	for request.repeatTarget == "" || request.repeatTarget == request.target {
		request.repeatTarget = p.pickTarget()
	}
}

func (p *planner) planGeneration(request *plannedRequest, model string) {
	request.stream = p.random.Float64() < p.settings.StreamShare
	request.path = chatPath
	request.body = buildChatBody(model, p.buildPrompt(model), p.settings.MaxTokens, request.stream)
}

// buildPrompt returns a prompt whose first half is a system prompt that all requests
// of the model share and whose second half is unique.
func (p *planner) buildPrompt(model string) []message {
	half := p.settings.PromptBytes / 2
	shared := strings.Repeat("The desk of "+model+". ", half)[:half]
	own := fmt.Sprintf("Question %d-%d. ", p.settings.Seed, p.random.Uint64())
	own = strings.Repeat(own, half/len(own)+1)
	return []message{{Role: "system", Content: shared}, {Role: "user", Content: own}}
}

const chatPath = "/v1/chat/completions"

type bookingRequest struct {
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

func buildChatBody(model string, messages []message, maxTokens int, stream bool) []byte {
	return mustMarshal(chatRequest{Model: model, Messages: messages, MaxTokens: maxTokens, Stream: stream})
}

func mustMarshal(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // the types of this package always marshal
	}
	return data
}
