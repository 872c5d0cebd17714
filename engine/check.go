package engine

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// Check watches one stream: each chunk must be the next one of this stream, and
// the end must come after a finished answer. Failure: an engine that mixes up
// its streams gives a caller a piece of another caller's answer, or an engine
// that dies closes the connection in good order and half an answer looks whole.
// The position finds gaps and repeats, the identity inside each chunk finds
// other streams' chunks, the finish reason finds an end that is not this
// stream's.
type StreamChecker struct {
	id string
	// prefix is how a chunk of this stream usually starts.
	prefix []byte
	next   uint64
	// last and beforeLast are the newest chunks, newest first.
	last, beforeLast []byte
}

// NewCheck starts a check of the stream id from the position from on.
func NewStreamChecker(id string, from uint64) *StreamChecker {
	// Marshalling a string cannot fail.
	quoted, _ := json.Marshal(id)
	prefix := append([]byte(`{"id":`), quoted...)
	return &StreamChecker{id: id, prefix: append(prefix, ','), next: from}
}

// Take checks one chunk. The check keeps data, which must not change until two
// more chunks were taken.
func (c *StreamChecker) CheckChunk(position uint64, data []byte) error {
	if position != c.next {
		return brokenStream(fmt.Errorf("position %d instead of %d", position, c.next))
	}
	if !c.ours(data) {
		return brokenStream(fmt.Errorf("chunk %d belongs to another stream", position))
	}
	c.next++
	c.beforeLast = c.last
	c.last = data
	return nil
}

// End checks the end of the stream, whose position is one past the last chunk.
func (c *StreamChecker) CheckEnd(position uint64) error {
	if position != c.next {
		return brokenStream(fmt.Errorf("end at position %d instead of %d", position, c.next))
	}
	if c.last == nil || finished(c.last) {
		return nil
	}
	// A usage chunk may follow the one with the finish reason.
	if c.beforeLast == nil || finished(c.beforeLast) {
		if choiceless(c.last) {
			return nil
		}
	}
	return brokenStream(fmt.Errorf("end at position %d without a finish reason", position))
}

func (c *StreamChecker) ours(data []byte) bool {
	if bytes.HasPrefix(data, c.prefix) {
		return true
	}
	var chunk struct {
		ID string `json:"id"`
	}
	return json.Unmarshal(data, &chunk) == nil && chunk.ID == c.id
}

// chunkEnd is what the end of a stream needs of a chunk.
type chunkEnd struct {
	Choices []struct {
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

func finished(data []byte) bool {
	var chunk chunkEnd
	if json.Unmarshal(data, &chunk) != nil {
		return false
	}
	for _, choice := range chunk.Choices {
		if choice.FinishReason != nil && *choice.FinishReason != "" {
			return true
		}
	}
	return false
}

func choiceless(data []byte) bool {
	var chunk chunkEnd
	return json.Unmarshal(data, &chunk) == nil && len(chunk.Choices) == 0
}

func brokenStream(err error) error {
	return Error.Wrap(fmt.Errorf("%w: %w", ErrBrokenStream, err))
}
