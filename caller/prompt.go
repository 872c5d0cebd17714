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

// maxTokens is the highest max_tokens accepted. It exceeds any context length in
// use; a higher value is a caller's mistake and is refused before it reaches an
// engine.
const maxTokens = 1 << 20

// parsedBody holds the fields of a request body that the entry VM needs.
type parsedBody struct {
	model  string
	stream bool
	// text is the raw JSON of messages or prompt; its prefixes are hashed.
	text []byte
	// body is the caller's body with stream set to true and otherwise unchanged.
	body []byte
}

// field is the raw value of one top-level field.
type field struct {
	// raw is body[start:end].
	raw        []byte
	start, end int
}

// parsedFields are the names of the top-level fields that the entry VM reads.
var parsedFields = []string{"model", "messages", "prompt", "stream", "max_tokens", "max_completion_tokens"}

func badField(name, format string, args ...any) *refusal.Refusal {
	return refusal.New(refusal.CodeBadRequest, 0, name+": "+format, args...)
}

// parseBody reads and validates the fields in parsedFields. It does not decode the
// other fields, which the engine validates.
func parseBody(path string, body []byte) (parsedBody, error) {
	fields, err := findFields(body)
	if err != nil {
		return parsedBody{}, err
	}
	p := parsedBody{}
	if p.model, err = parseModel(fields); err != nil {
		return parsedBody{}, err
	}
	if p.stream, err = parseStream(fields); err != nil {
		return parsedBody{}, err
	}
	if p.text, err = parseText(path, fields); err != nil {
		return parsedBody{}, err
	}
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		if err := checkMaxTokens(fields, name); err != nil {
			return parsedBody{}, err
		}
	}
	p.body = setStream(body, fields)
	return p, nil
}

// findFields finds the fields of parsedFields in the body.
//
// It refuses a field that occurs twice or is not in lower case: the entry VM would
// check one occurrence and the engine might use the other, for instance a model
// outside the contract.
func findFields(body []byte) (map[string]field, error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		return nil, badField("body", "not a JSON object")
	}
	fields := make(map[string]field, len(parsedFields))
	var value json.RawMessage
	for decoder.More() {
		if err := readField(decoder, body, &value, fields); err != nil {
			return nil, err
		}
	}
	// Reading the closing token detects syntax errors such as a trailing comma.
	if _, err := decoder.Token(); err != nil {
		return nil, badField("body", "not valid JSON")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, badField("body", "goes on after the JSON object")
	}
	return fields, nil
}

// readField reads one key and its value. The buffer value is reused for each field.
func readField(decoder *json.Decoder, body []byte, value *json.RawMessage, fields map[string]field) error {
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
	for _, name := range parsedFields {
		if !strings.EqualFold(key, name) {
			continue
		}
		if key != name {
			return badField(name, "must be written in lower case")
		}
		if _, duplicate := fields[name]; duplicate {
			return badField(name, "stands twice")
		}
		fields[name] = value
	}
	return nil
}

func parseModel(fields map[string]field) (string, error) {
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

func parseStream(fields map[string]field) (bool, error) {
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

// parseText returns the raw JSON of messages (chat) or prompt (completions).
func parseText(path string, fields map[string]field) ([]byte, error) {
	if path == pathChat {
		raw := fields["messages"].raw
		if !isNonEmptyList(raw) {
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

// isNonEmptyList reports whether raw, which must be valid JSON, is a list with at
// least one element.
func isNonEmptyList(raw []byte) bool {
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

// setStream returns the body with stream set to true and all other bytes unchanged.
func setStream(body []byte, fields map[string]field) []byte {
	given, ok := fields["stream"]
	if ok && string(given.raw) == "true" {
		return body
	}
	if ok {
		return splice(body, given.start, given.end, "true")
	}
	// The object has at least the field model, so a comma after the new field is valid.
	open := bytes.IndexByte(body, '{') + 1
	return splice(body, open, open, `"stream":true,`)
}

func splice(body []byte, start, end int, insert string) []byte {
	out := make([]byte, 0, len(body)+len(insert))
	out = append(out, body[:start]...)
	out = append(out, insert...)
	return append(out, body[end:]...)
}
