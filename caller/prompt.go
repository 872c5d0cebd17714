package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"math"
	"strings"

	"bergamotreel/refusal"
)

// maxTokens is the highest max_tokens taken: above any context in use, so that
// a mistaken unit is told to the caller and not to the engine.
const maxTokens = 1 << 20

// prompt is what the entry VM needs to know of a body.
type prompt struct {
	model  string
	stream bool
	// text is the raw JSON of messages or prompt; its prefixes are hashed.
	text []byte
	// body is the caller's, with stream set to true and all else untouched.
	body []byte
}

// field is one top-level field that the entry VM reads.
type field struct {
	// raw is a part of the body, from start to end.
	raw        []byte
	start, end int
}

// readFields are the names of the fields that the entry VM reads.
var readFields = []string{"model", "messages", "prompt", "stream", "max_tokens", "max_completion_tokens"}

func badField(name, format string, args ...any) *refusal.Refusal {
	return refusal.New(refusal.CodeBadRequest, 0, name+": "+format, args...)
}

// parsePrompt checks the fields that the entry VM reads. It does not decode the
// rest, which is the engine's to check.
func parsePrompt(path string, body []byte) (prompt, error) {
	fields, err := topLevel(body)
	if err != nil {
		return prompt{}, err
	}
	p := prompt{}
	if p.model, err = modelOf(fields); err != nil {
		return prompt{}, err
	}
	if p.stream, err = streamOf(fields); err != nil {
		return prompt{}, err
	}
	if p.text, err = textOf(path, fields); err != nil {
		return prompt{}, err
	}
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		if err := checkMaxTokens(fields, name); err != nil {
			return prompt{}, err
		}
	}
	p.body = withStream(body, fields)
	return p, nil
}

// topLevel finds the fields of readFields in the body.
//
// A field that stands twice, or in other case, is refused: the entry VM would
// check one of them and the engine might obey the other, for instance another
// model than the contract's.
func topLevel(body []byte) (map[string]field, error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		return nil, badField("body", "not a JSON object")
	}
	fields := make(map[string]field, len(readFields))
	var value json.RawMessage
	for decoder.More() {
		if err := nextField(decoder, body, &value, fields); err != nil {
			return nil, err
		}
	}
	// The closing token checks the object's own syntax, as in a comma too many.
	if _, err := decoder.Token(); err != nil {
		return nil, badField("body", "not valid JSON")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, badField("body", "goes on after the JSON object")
	}
	return fields, nil
}

// nextField reads one key with its value; the buffer value is used again for
// each of them.
func nextField(decoder *json.Decoder, body []byte, value *json.RawMessage, fields map[string]field) error {
	token, err := decoder.Token()
	key, isKey := token.(string)
	if err != nil || !isKey {
		return badField("body", "not valid JSON")
	}
	if err := decoder.Decode(value); err != nil {
		return badField("body", "not valid JSON")
	}
	end := int(decoder.InputOffset())
	start := end - len(*value)
	return addField(fields, key, field{raw: body[start:end], start: start, end: end})
}

func addField(fields map[string]field, key string, value field) error {
	for _, name := range readFields {
		if !strings.EqualFold(key, name) {
			continue
		}
		if key != name {
			return badField(name, "must be written in lower case")
		}
		if _, twice := fields[name]; twice {
			return badField(name, "stands twice")
		}
		fields[name] = value
	}
	return nil
}

func modelOf(fields map[string]field) (string, error) {
	var model string
	given, ok := fields["model"]
	if !ok {
		return "", badField("model", "is missing")
	}
	if json.Unmarshal(given.raw, &model) != nil || model == "" {
		return "", badField("model", "must be a string that is not empty")
	}
	return model, nil
}

func streamOf(fields map[string]field) (bool, error) {
	given, ok := fields["stream"]
	if !ok || isNull(given.raw) {
		return false, nil
	}
	var stream bool
	if json.Unmarshal(given.raw, &stream) != nil {
		return false, badField("stream", "must be true or false")
	}
	return stream, nil
}

// textOf returns the raw messages (chat) or prompt (completions).
func textOf(path string, fields map[string]field) ([]byte, error) {
	if path == pathChat {
		raw := fields["messages"].raw
		if !isFilledList(raw) {
			return nil, badField("messages", "must be a list that is not empty")
		}
		return raw, nil
	}
	raw := fields["prompt"].raw
	if len(raw) == 0 || (raw[0] != '"' && raw[0] != '[') {
		return nil, badField("prompt", "must be a string or a list")
	}
	return raw, nil
}

// isFilledList tells whether valid JSON is a list with an element.
func isFilledList(raw []byte) bool {
	if len(raw) == 0 || raw[0] != '[' {
		return false
	}
	return bytes.TrimLeft(raw[1:], " \t\r\n")[0] != ']'
}

func checkMaxTokens(fields map[string]field, name string) error {
	given, ok := fields[name]
	if !ok || isNull(given.raw) {
		return nil
	}
	var n float64
	if json.Unmarshal(given.raw, &n) != nil || n != math.Trunc(n) || n < 1 || n > maxTokens {
		return badField(name, "must be a whole number from 1 to %d", maxTokens)
	}
	return nil
}

func isNull(raw []byte) bool { return string(raw) == "null" }

// withStream sets the body's stream to true without touching another byte.
func withStream(body []byte, fields map[string]field) []byte {
	given, ok := fields["stream"]
	if ok && string(given.raw) == "true" {
		return body
	}
	if ok {
		return splice(body, given.start, given.end, "true")
	}
	// The object has a field (model), so a comma can follow the new one.
	open := bytes.IndexByte(body, '{') + 1
	return splice(body, open, open, `"stream":true,`)
}

func splice(body []byte, start, end int, insert string) []byte {
	out := make([]byte, 0, len(body)+len(insert))
	out = append(out, body[:start]...)
	out = append(out, insert...)
	return append(out, body[end:]...)
}
