// Package quarantine detects requests that crash the backend servers that run them, and
// reports which requests must be refused. It does no I/O and reads no clock.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Fingerprint identifies what all variants of a request have in common, or a part of prompts: it is the same at any
// entry VM and under any request ID.
type Fingerprint uint64

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Subject is what may be at fault for a crash: a whole request, or a part of its prompt that
// other requests share.
type Subject struct {
	Fingerprint Fingerprint
	PromptPart  bool
	// Details tell the variants of a request apart. They are zero for a part of prompts.
	Details Details
}

// String returns the fingerprint, with a prefix for parts of prompts and the details of requests.
func (s Subject) String() string {
	switch {
	case s.PromptPart:
		return "part-" + s.Fingerprint.String()
	case s.Details == Details{}:
		return s.Fingerprint.String()
	default:
		return s.Fingerprint.String() + "/" + s.Details.String()
	}
}

// Field is something in which requests with one path and body may differ.
type Field int

const (
	FieldCaller Field = iota
	FieldQuery
	FieldModel
	FieldPrompt
	FieldTokenCounts
	FieldHeaders
	// FieldCount is the number of fields.
	FieldCount
)

// FieldSet is a set of fields, one bit for each.
type FieldSet uint8

const (
	allFields FieldSet = 1<<FieldCount - 1
	// identityFields are the fields that requests must have in common, besides path and body, to be repetitions of one
	// request beyond doubt.
	identityFields FieldSet = 1<<FieldCaller | 1<<FieldModel | 1<<FieldPrompt
)

// includes reports whether all fields of another set are in the set.
func (s FieldSet) includes(other FieldSet) bool { return s&other == other }

// Details holds a hash of each Field of a request, 0 for an empty one.
type Details [FieldCount]uint32

// agreement returns the fields in which two requests agree.
func (d Details) agreement(other Details) (fields FieldSet) {
	for field := range d {
		if d[field] == other[field] {
			fields |= 1 << field
		}
	}
	return fields
}

// String returns the hashes in hexadecimal, in the order of the fields.
func (d Details) String() string {
	text := make([]string, 0, FieldCount)
	for _, hash := range d {
		text = append(text, strconv.FormatUint(uint64(hash), 16))
	}
	return strings.Join(text, ".")
}

// Content is what a backend server sees of a request, without the parts that differ
// between attempts.
type Content struct {
	Workspace, Method, Host, Path string
	Body                          []byte
	// Caller is the caller's address without its port.
	Caller string
	// Query is the URI's query, Model the model with its adapter.
	Query, Model string
	// Prompt identifies the prompt by the IDs of its parts, TokenCounts are the numbers of tokens that the request's head names.
	Prompt, TokenCounts string
	// Headers is a hash of all other headers that a caller repeats.
	Headers uint64
	// PromptParts are the IDs of the prompt's parts that other requests may share.
	PromptParts []string
}

// Subjects returns the whole request first, then the parts of its prompt.
func (c *Content) Subjects() []Subject {
	subjects := make([]Subject, 0, 1+len(c.PromptParts))
	subjects = append(subjects, c.subject())
	for _, id := range c.PromptParts {
		subjects = append(subjects, Subject{Fingerprint: hash("prompt part", c.Workspace, id), PromptPart: true})
	}
	return subjects
}

// subject returns the whole request as a subject.
func (c *Content) subject() Subject {
	return Subject{Fingerprint: hashBytes(c.Body, c.Workspace, c.Method, c.Host, c.Path), Details: c.details()}
}

func (c *Content) details() (details Details) {
	headers := ""
	if c.Headers != 0 {
		headers = strconv.FormatUint(c.Headers, 16)
	}
	for field, text := range [FieldCount]string{c.Caller, c.Query, c.Model, c.Prompt, c.TokenCounts, headers} {
		if text != "" {
			details[field] = uint32(hash("detail", text))
		}
	}
	return details
}

// hash returns the fingerprint of a list of texts. It is cryptographic, as callers could
// otherwise craft a request that has the fingerprint of somebody else's.
func hash(texts ...string) Fingerprint {
	last := len(texts) - 1
	return hashBytes([]byte(texts[last]), texts[:last]...)
}

// hashBytes is hash for a list that ends with last.
func hashBytes(last []byte, texts ...string) Fingerprint {
	digest := sha256.New()
	for _, text := range texts {
		writeText(digest, []byte(text))
	}
	writeText(digest, last)
	return Fingerprint(binary.BigEndian.Uint64(digest.Sum(nil)))
}

func writeText(digest io.Writer, text []byte) {
	_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, uint64(len(text))))
	_, _ = digest.Write(text)
}
