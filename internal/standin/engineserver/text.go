package engineserver

import (
	"encoding/json"
	"strconv"
	"strings"

	"bergamotreel/routing"

	"github.com/cespare/xxhash/v2"
)

const (
	// defaultAnswerTokens is the number of tokens of an answer if the request
	// sets no maximum.
	defaultAnswerTokens = 16
	// bytesPerToken is the number of prompt bytes that count as one token.
	bytesPerToken = 4
	// chatPath is the path of chat completions, whose chunks carry deltas.
	chatPath = "/v1/chat/completions"
)

// vocabulary holds the possible tokens. Its length is a power of two.
var vocabulary = strings.Fields(`amber anchor apple arrow autumn basket beacon birch
bottle bridge bronze cabin candle canyon carpet cedar chapel cherry cinder clover
cobalt copper coral cotton crayon crystal daisy delta ember engine falcon feather
fennel garden ginger glacier granite harbor hazel helmet indigo island ivory jasmin
kettle lagoon lantern lemon linen magnet maple marble meadow mirror nectar olive
orchid paddle pebble pepper quartz river saffron walnut`)

// prompt holds the fields of a request's body that the engine uses.
type prompt struct {
	Prompt              any `json:"prompt"`
	Messages            any `json:"messages"`
	MaxTokens           int `json:"max_tokens"`
	MaxCompletionTokens int `json:"max_completion_tokens"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	// text is the prompt as JSON in a canonical form, which does not depend on
	// the whitespace or the order of keys in the body.
	text string
}

func parsePrompt(body []byte) (prompt, error) {
	var p prompt
	if err := json.Unmarshal(body, &p); err != nil {
		return prompt{}, err
	}
	// Values that were just unmarshalled can be marshalled, with sorted map keys.
	text, _ := json.Marshal([]any{p.Messages, p.Prompt})
	p.text = string(text)
	return p, nil
}

func (p prompt) answerTokenCount() int {
	if p.MaxTokens > 0 {
		return p.MaxTokens
	}
	if p.MaxCompletionTokens > 0 {
		return p.MaxCompletionTokens
	}
	return defaultAnswerTokens
}

func (p prompt) promptTokenCount() int { return len(p.text)/bytesPerToken + 1 }

// tokenAt returns the i-th token of the answer to the prompt.
func (p prompt) tokenAt(i int) string {
	digest := xxhash.New()
	_, _ = digest.WriteString(p.text)
	_, _ = digest.WriteString(strconv.Itoa(i))
	return vocabulary[digest.Sum64()%uint64(len(vocabulary))] + " "
}

// ExpectedText returns the whole text that an engine answers to a request's body,
// or "" for an invalid body. The text depends only on the prompt and the number
// of tokens.
func ExpectedText(body []byte) string {
	p, err := parsePrompt(body)
	if err != nil {
		return ""
	}
	var text strings.Builder
	for i := range p.answerTokenCount() {
		text.WriteString(p.tokenAt(i))
	}
	return text.String()
}

// HashPromptPrefixes hashes the prefixes of a request's prompt as the routers do.
// It returns nil for an invalid body.
func HashPromptPrefixes(unit string, body []byte) []uint64 {
	var raw struct {
		Prompt   json.RawMessage `json:"prompt"`
		Messages json.RawMessage `json:"messages"`
	}
	if json.Unmarshal(body, &raw) != nil {
		return nil
	}
	if raw.Messages != nil {
		return routing.HashPrefixes(unit, raw.Messages)
	}
	return routing.HashPrefixes(unit, raw.Prompt)
}

// The JSON types of a chunk in the streaming format of the OpenAI API.
type (
	chunk struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
		Usage   *usage   `json:"usage,omitempty"`
	}
	choice struct {
		Index        int     `json:"index"`
		Delta        *delta  `json:"delta,omitempty"`
		Text         string  `json:"text,omitempty"`
		FinishReason *string `json:"finish_reason"`
	}
	delta struct {
		Role    string `json:"role,omitempty"`
		Content string `json:"content"`
	}
	usage struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		TotalTokens      int `json:"total_tokens"`
	}
)

// finishReasonLength is the finish reason of an answer that reached its maximum
// number of tokens.
var finishReasonLength = "length"

// newTokenChunk returns the chunk of the i-th token.
func (s *stream) newTokenChunk(i int) []byte {
	c := chunk{ID: s.request.ID, Object: "text_completion", Model: s.request.Unit}
	content := choice{Text: s.prompt.tokenAt(i)}
	if s.request.Path == chatPath {
		c.Object = "chat.completion.chunk"
		content = choice{Delta: &delta{Content: s.prompt.tokenAt(i)}}
		if i == 0 {
			content.Delta.Role = "assistant"
		}
	}
	if i == s.prompt.answerTokenCount()-1 {
		content.FinishReason = &finishReasonLength
	}
	c.Choices = []choice{content}
	return mustMarshal(c)
}

// newUsageChunk returns the chunk that follows the last token if the request asked
// for usage.
func (s *stream) newUsageChunk() []byte {
	in, out := s.prompt.promptTokenCount(), s.prompt.answerTokenCount()
	return mustMarshal(chunk{
		ID: s.request.ID, Object: "chat.completion.chunk", Model: s.request.Unit, Choices: []choice{},
		Usage: &usage{PromptTokens: in, CompletionTokens: out, TotalTokens: in + out},
	})
}

func mustMarshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // the package's own types always marshal
	}
	return data
}
