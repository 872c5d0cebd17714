package engine

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// StreamChecker verifies that each chunk is the next one of its stream and that
// the stream ends only after a complete answer. It guards against an engine that
// mixes up its streams, which would give a caller a part of another caller's
// answer, and against an engine that dies and closes the connection normally, so
// that a truncated answer looks complete. Positions reveal gaps and repeats, the
// id inside each chunk reveals chunks of other streams, and the finish reason
// reveals an end event that belongs to another stream.
type StreamChecker struct {
	id string
	// prefix is the usual beginning of a chunk of this stream. Chunks that begin
	// otherwise are parsed.
	prefix       []byte
	nextPosition uint64
	// lastChunk is the newest chunk, previousChunk the one before it.
	lastChunk, previousChunk []byte
}

// NewStreamChecker returns a checker for the stream id whose first chunk has the
// position from.
func NewStreamChecker(id string, from uint64) *StreamChecker {
	// Marshalling a string cannot fail.
	quoted, _ := json.Marshal(id)
	prefix := append([]byte(`{"id":`), quoted...)
	return &StreamChecker{id: id, prefix: append(prefix, ','), nextPosition: from}
}

// CheckChunk checks one chunk. The checker keeps data, which must not change
// until two more chunks have been checked.
func (c *StreamChecker) CheckChunk(position uint64, data []byte) error {
	if position != c.nextPosition {
		return brokenStream(fmt.Errorf("position %d instead of %d", position, c.nextPosition))
	}
	if !c.belongsToStream(data) {
		return brokenStream(fmt.Errorf("chunk %d belongs to another stream", position))
	}
	c.nextPosition++
	c.previousChunk = c.lastChunk
	c.lastChunk = data
	return nil
}

// CheckEnd checks the end of the stream, whose position is one past the last chunk.
func (c *StreamChecker) CheckEnd(position uint64) error {
	if position != c.nextPosition {
		return brokenStream(fmt.Errorf("end at position %d instead of %d", position, c.nextPosition))
	}
	if c.lastChunk == nil || hasFinishReason(c.lastChunk) {
		return nil
	}
	// A usage chunk may follow the one with the finish reason.
	if c.previousChunk == nil || hasFinishReason(c.previousChunk) {
		if hasNoChoices(c.lastChunk) {
			return nil
		}
	}
	return brokenStream(fmt.Errorf("end at position %d without a finish reason", position))
}

func (c *StreamChecker) belongsToStream(data []byte) bool {
	if bytes.HasPrefix(data, c.prefix) {
		return true
	}
	var chunk struct {
		ID string `json:"id"`
	}
	return json.Unmarshal(data, &chunk) == nil && chunk.ID == c.id
}

// chunkEnd holds the fields of a chunk that CheckEnd reads.
type chunkEnd struct {
	Choices []struct {
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

func hasFinishReason(data []byte) bool {
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

func hasNoChoices(data []byte) bool {
	var chunk chunkEnd
	return json.Unmarshal(data, &chunk) == nil && len(chunk.Choices) == 0
}

func brokenStream(err error) error {
	return Error.Wrap(fmt.Errorf("%w: %w", ErrBrokenStream, err))
}
