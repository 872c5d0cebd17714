package engineserver

import (
	"encoding/json"
	"strconv"
	"strings"

	"bergamotreel/routing"

	"github.com/cespare/xxhash/v2"
)

const (
	// defaultTokens is how many tokens an answer has without max_tokens.
	defaultTokens = 16
	// bytesPerToken is how many bytes of the prompt count as one token.
	bytesPerToken = 4
	// chatPath is the path whose chunks carry deltas.
	chatPath = "/v1/chat/completions"
)

// words are the tokens; a power of two of them.
var words = strings.Fields(`amber anchor apple arrow autumn basket beacon birch
bottle bridge bronze cabin candle canyon carpet cedar chapel cherry cinder clover
cobalt copper coral cotton crayon crystal daisy delta ember engine falcon feather
fennel garden ginger glacier granite harbor hazel helmet indigo island ivory jasmin
kettle lagoon lantern lemon linen magnet maple marble meadow mirror nectar olive
orchid paddle pebble pepper quartz river saffron walnut`)

// prompt is what the stand-in reads of a request's body.
type prompt struct {
	Prompt              any `json:"prompt"`
	Messages            any `json:"messages"`
	MaxTokens           int `json:"max_tokens"`
	MaxCompletionTokens int `json:"max_completion_tokens"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	// text is the prompt in a form that does not depend on the JSON's spacing.
	text string
}

func parsePrompt(body []byte) (prompt, error) {
	var p prompt
	if err := json.Unmarshal(body, &p); err != nil {
		return prompt{}, err
	}
	// What was just unmarshalled can be marshalled; map keys come out sorted.
	text, _ := json.Marshal([]any{p.Messages, p.Prompt})
	p.text = string(text)
	return p, nil
}

func (p prompt) answerTokens() int {
	if p.MaxTokens > 0 {
		return p.MaxTokens
	}
	if p.MaxCompletionTokens > 0 {
		return p.MaxCompletionTokens
	}
	return defaultTokens
}

func (p prompt) promptTokens() int { return len(p.text)/bytesPerToken + 1 }

// token is the i-th word of the answer to the prompt.
func (p prompt) token(i int) string {
	digest := xxhash.New()
	_, _ = digest.WriteString(p.text)
	_, _ = digest.WriteString(strconv.Itoa(i))
	return words[digest.Sum64()%uint64(len(words))] + " "
}

// ExpectedText is the whole text that an engine answers to a request's body; ""
// for a body that it cannot read. It depends on the prompt and the number of
// tokens only.
func ExpectedText(body []byte) string {
	p, err := parsePrompt(body)
	if err != nil {
		return ""
	}
	var text strings.Builder
	for i := range p.answerTokens() {
		text.WriteString(p.token(i))
	}
	return text.String()
}

// PromptPrefixes hashes the prefixes of a request's prompt as the routers do.
func PromptPrefixes(unit string, body []byte) []uint64 {
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

// The JSON of a chunk, as OpenAI's API streams it.
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

// finishLength is the finish reason of an answer that has all its max_tokens.
var finishLength = "length"

// tokenChunk is the chunk of the i-th token.
func (s *stream) tokenChunk(i int) []byte {
	c := chunk{ID: s.request.ID, Object: "text_completion", Model: s.request.Unit}
	part := choice{Text: s.prompt.token(i)}
	if s.request.Path == chatPath {
		c.Object = "chat.completion.chunk"
		part = choice{Delta: &delta{Content: s.prompt.token(i)}}
		if i == 0 {
			part.Delta.Role = "assistant"
		}
	}
	if i == s.prompt.answerTokens()-1 {
		part.FinishReason = &finishLength
	}
	c.Choices = []choice{part}
	return mustMarshal(c)
}

// usageChunk follows the last token where the request asked for it.
func (s *stream) usageChunk() []byte {
	in, out := s.prompt.promptTokens(), s.prompt.answerTokens()
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
