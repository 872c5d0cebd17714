package caller

import (
	"encoding/json"

	"bergamotreel/engine"
	"bergamotreel/refusal"
)

// collectSink puts the chunks together into one answer.
type collectSink struct {
	progress
	chat bool
	// room is how many bytes of chunks may still come.
	room    int64
	head    chunkHead
	usage   json.RawMessage
	choices []*choice
	// failed is set once a chunk could not be taken.
	failed error
}

// chunkHead is what all chunks of an answer share.
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

// maxChoices bounds the choices of one answer.
const maxChoices = 128

func newCollectSink(p progress, path string, room int64) *collectSink {
	return &collectSink{progress: p, chat: path == pathChat, room: room}
}

// Chunk implements Sink.
func (s *collectSink) Chunk(c engine.Chunk) error {
	if s.failed != nil {
		return s.failed
	}
	if err := s.step(c); err != nil {
		return err
	}
	s.failed = s.take(c.Data)
	return s.failed
}

// end checks what the Backend says at the end of the answer.
func (s *collectSink) end(err error) error {
	if s.failed != nil {
		return s.failed
	}
	return s.progress.end(err)
}

func (s *collectSink) take(data []byte) error {
	s.room -= int64(len(data))
	if s.room < 0 {
		return refusal.NewMaybeRan(refusal.CodeTooLarge, "the answer is too large to be sent in one piece; set stream")
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
		if err := s.takeChoice(&chunk.Choices[i]); err != nil {
			return err
		}
	}
	return nil
}

func (s *collectSink) takeChoice(from *chunkChoice) error {
	if from.Index < 0 || from.Index >= maxChoices {
		return refusal.NewMaybeRan(refusal.CodeBackendFailed, "the engine sent choice %d", from.Index)
	}
	for len(s.choices) <= from.Index {
		s.choices = append(s.choices, newChoice())
	}
	if err := s.choices[from.Index].add(from); err != nil {
		return refusal.NewMaybeRan(refusal.CodeBackendFailed, "the engine sent a malformed choice")
	}
	return nil
}

// wholeAnswer is the answer sent in one piece.
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

// answer encodes what was put together.
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
