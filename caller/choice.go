package caller

import (
	"encoding/json"
	"strings"
)

// choice assembles one choice of an answer from its deltas.
type choice struct {
	text         strings.Builder
	finishReason json.RawMessage
	// logprobLists holds the lists inside logprobs by field name.
	logprobLists map[string][]json.RawMessage
	// texts holds the fields listed in incrementalFields by name.
	texts map[string]*strings.Builder
	// otherFields holds the newest value of each other field of the deltas.
	otherFields map[string]json.RawMessage
	toolCalls   []*toolCall
}

// toolCall assembles one tool call of the model from its deltas.
type toolCall struct {
	ID        string
	Type      string
	Name      string
	Arguments strings.Builder
}

// toolCallDelta is an increment of a toolCall.
type toolCallDelta struct {
	Index    int    `json:"index"`
	ID       string `json:"id"`
	Type     string `json:"type"`
	Function struct {
		Name      string `json:"name"`
		Arguments string `json:"arguments"`
	} `json:"function"`
}

// maxToolCalls is the maximum number of tool calls in one choice.
const maxToolCalls = 128

// incrementalFields names the string fields of a delta whose values are concatenated.
var incrementalFields = map[string]bool{"content": true, "reasoning_content": true, "refusal": true}

func newChoice() *choice {
	return &choice{
		finishReason: json.RawMessage("null"),
		logprobLists: map[string][]json.RawMessage{},
		texts:        map[string]*strings.Builder{},
		otherFields:  map[string]json.RawMessage{},
	}
}

// add appends one chunk's part of the choice.
func (c *choice) add(part *chunkChoice) error {
	c.text.WriteString(part.Text)
	if len(part.FinishReason) > 0 && !isNull(part.FinishReason) {
		c.finishReason = part.FinishReason
	}
	if err := c.addLogprobs(part.Logprobs); err != nil {
		return err
	}
	for name, raw := range part.Delta {
		if err := c.addDelta(name, raw); err != nil {
			return err
		}
	}
	return nil
}

func (c *choice) addDelta(name string, raw json.RawMessage) error {
	if isNull(raw) {
		return nil
	}
	if name == "tool_calls" {
		return c.addToolCalls(raw)
	}
	if !incrementalFields[name] {
		c.otherFields[name] = raw
		return nil
	}
	var piece string
	if err := json.Unmarshal(raw, &piece); err != nil {
		return Error.Wrap(err)
	}
	if c.texts[name] == nil {
		c.texts[name] = &strings.Builder{}
	}
	c.texts[name].WriteString(piece)
	return nil
}

func (c *choice) addToolCalls(raw json.RawMessage) error {
	var deltas []toolCallDelta
	if err := json.Unmarshal(raw, &deltas); err != nil {
		return Error.Wrap(err)
	}
	for _, delta := range deltas {
		if delta.Index < 0 || delta.Index >= maxToolCalls {
			return Error.New("tool call %d", delta.Index)
		}
		for len(c.toolCalls) <= delta.Index {
			c.toolCalls = append(c.toolCalls, &toolCall{})
		}
		c.toolCalls[delta.Index].add(delta)
	}
	return nil
}

func (t *toolCall) add(delta toolCallDelta) {
	if delta.ID != "" {
		t.ID = delta.ID
	}
	if delta.Type != "" {
		t.Type = delta.Type
	}
	t.Name += delta.Function.Name
	t.Arguments.WriteString(delta.Function.Arguments)
}

// addLogprobs appends the items of a chunk's logprobs lists.
func (c *choice) addLogprobs(raw json.RawMessage) error {
	if len(raw) == 0 || isNull(raw) {
		return nil
	}
	var lists map[string]json.RawMessage
	if err := json.Unmarshal(raw, &lists); err != nil {
		return Error.Wrap(err)
	}
	for name, list := range lists {
		var items []json.RawMessage
		if err := json.Unmarshal(list, &items); err != nil {
			return Error.Wrap(err)
		}
		c.logprobLists[name] = append(c.logprobLists[name], items...)
	}
	return nil
}

func (c *choice) logprobs() any {
	if len(c.logprobLists) == 0 {
		return nil
	}
	return c.logprobLists
}

// message returns the chat message of the choice.
func (c *choice) message() map[string]any {
	message := map[string]any{"role": "assistant", "content": nil}
	for name, raw := range c.otherFields {
		message[name] = raw
	}
	for name, text := range c.texts {
		message[name] = text.String()
	}
	if len(c.toolCalls) > 0 {
		message["tool_calls"] = c.toolCallObjects()
	}
	return message
}

// toolCallObject is a complete tool call in the format of the OpenAI API.
type toolCallObject struct {
	ID       string           `json:"id"`
	Type     string           `json:"type"`
	Function toolCallFunction `json:"function"`
}

type toolCallFunction struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

func (c *choice) toolCallObjects() []toolCallObject {
	objects := make([]toolCallObject, 0, len(c.toolCalls))
	for _, call := range c.toolCalls {
		function := toolCallFunction{Name: call.Name, Arguments: call.Arguments.String()}
		objects = append(objects, toolCallObject{ID: call.ID, Type: call.Type, Function: function})
	}
	return objects
}
