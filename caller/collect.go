package caller

import (
	"encoding/json"

	"bergamotreel/engine"
	"bergamotreel/refusal"
)

// collectSink assembles the chunks into one answer.
type collectSink struct {
	progress
	chat bool
	// remaining is how many more bytes of chunks are accepted.
	remaining int64
	memory    *heldAnswer
	head      chunkHead
	usage     json.RawMessage
	choices   []*choice
	// chunkErr is the error of the first chunk that was rejected.
	chunkErr error
}

// chunkHead holds the fields that all chunks of an answer share.
type chunkHead struct {
	ID                string          `json:"id"`
	Created           int64           `json:"created"`
	Model             string          `json:"model"`
	SystemFingerprint json.RawMessage `json:"system_fingerprint,omitempty"`
}

type chunkObject struct {
	chunkHead
	Choices []chunkChoice   `json:"choices"`
	Usage   json.RawMessage `json:"usage"`
}

type chunkChoice struct {
	Index        int                        `json:"index"`
	Text         string                     `json:"text"`
	Delta        map[string]json.RawMessage `json:"delta"`
	FinishReason json.RawMessage            `json:"finish_reason"`
	Logprobs     json.RawMessage            `json:"logprobs"`
}

// maxChoices is the maximum number of choices in one answer.
const maxChoices = 128

func newCollectSink(p progress, path string, maxBytes int64, memory *heldAnswer) *collectSink {
	return &collectSink{progress: p, chat: path == pathChat, remaining: maxBytes, memory: memory}
}

// copiesOfChunk is how often a chunk's text is in memory: in the assembled answer and in its JSON form.
const copiesOfChunk = 2

// WriteChunk implements Sink.
func (s *collectSink) WriteChunk(c engine.Chunk) error {
	if s.chunkErr != nil {
		return s.chunkErr
	}
	if err := s.advance(c); err != nil {
		return err
	}
	s.chunkErr = s.addChunk(c.Data)
	return s.chunkErr
}

// checkEnd returns the error that the answer ends with, given the Backend's result.
func (s *collectSink) checkEnd(err error) error {
	if s.chunkErr != nil {
		return s.chunkErr
	}
	return s.progress.checkEnd(err)
}

func (s *collectSink) addChunk(data []byte) error {
	s.remaining -= int64(len(data))
	if s.remaining < 0 {
		return refusal.NewMaybeRan(refusal.CodeTooLarge, "the answer is too large to be sent in one piece; set stream")
	}
	if !s.memory.reserve(copiesOfChunk * int64(len(data))) {
		return refusal.NewMaybeRan(refusal.CodeTooLarge, "too many bytes of answers are held; set stream")
	}
	var chunk chunkObject
	if err := json.Unmarshal(data, &chunk); err != nil {
		return refusal.NewMaybeRan(refusal.CodeBackendFailed, "the engine sent a malformed chunk")
	}
	if s.position == 1 {
		s.head = chunk.chunkHead
	}
	if len(chunk.Usage) > 0 && !isNull(chunk.Usage) {
		s.usage = chunk.Usage
	}
	for i := range chunk.Choices {
		if err := s.addChoice(&chunk.Choices[i]); err != nil {
			return err
		}
	}
	return nil
}

func (s *collectSink) addChoice(part *chunkChoice) error {
	if part.Index < 0 || part.Index >= maxChoices {
		return refusal.NewMaybeRan(refusal.CodeBackendFailed, "the engine sent choice %d", part.Index)
	}
	for len(s.choices) <= part.Index {
		s.choices = append(s.choices, newChoice())
	}
	if err := s.choices[part.Index].add(part); err != nil {
		return refusal.NewMaybeRan(refusal.CodeBackendFailed, "the engine sent a malformed choice")
	}
	return nil
}

// wholeAnswer is the JSON form of an answer that is not streamed.
type wholeAnswer struct {
	ID                string          `json:"id"`
	Object            string          `json:"object"`
	Created           int64           `json:"created"`
	Model             string          `json:"model"`
	SystemFingerprint json.RawMessage `json:"system_fingerprint,omitempty"`
	Choices           []any           `json:"choices"`
	Usage             json.RawMessage `json:"usage,omitempty"`
}

type chatChoice struct {
	Index        int             `json:"index"`
	Message      map[string]any  `json:"message"`
	Logprobs     any             `json:"logprobs"`
	FinishReason json.RawMessage `json:"finish_reason"`
}

type textChoice struct {
	Index        int             `json:"index"`
	Text         string          `json:"text"`
	Logprobs     any             `json:"logprobs"`
	FinishReason json.RawMessage `json:"finish_reason"`
}

// answer encodes the assembled answer.
func (s *collectSink) answer() ([]byte, error) {
	whole := wholeAnswer{
		ID: s.head.ID, Object: "text_completion", Created: s.head.Created, Model: s.head.Model,
		SystemFingerprint: s.head.SystemFingerprint, Choices: make([]any, 0, len(s.choices)), Usage: s.usage,
	}
	if s.chat {
		whole.Object = "chat.completion"
	}
	for i, c := range s.choices {
		if s.chat {
			whole.Choices = append(whole.Choices, chatChoice{i, c.message(), c.logprobs(), c.finishReason})
		} else {
			whole.Choices = append(whole.Choices, textChoice{i, c.text.String(), c.logprobs(), c.finishReason})
		}
	}
	data, err := json.Marshal(whole)
	return data, Error.Wrap(err)
}
