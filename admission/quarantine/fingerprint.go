// Package quarantine detects requests that crash the backend servers that run them, and
// reports which requests must be refused. It does no I/O and reads no clock.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

// Fingerprint identifies a request by its content: a repetition has the same fingerprint
// at any entry VM and under any request ID.
type Fingerprint uint64

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Content is what a backend server sees of a request, without the parts that differ
// between attempts.
type Content struct {
	Workspace, Method, Host, URI string
	// Caller is the caller's address without its port. It is hashed only for requests
	// without a body; others are distinguished by their body, even if the address changes.
	Caller string
	Body   []byte
}

// Fingerprint hashes the content. The hash is cryptographic, as callers could otherwise
// craft a request that has the fingerprint of somebody else's.
func (c *Content) Fingerprint() Fingerprint {
	hash := sha256.New()
	add := func(part []byte) {
		_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = hash.Write(part)
	}
	for _, part := range []string{c.Workspace, c.Method, c.Host, c.URI} {
		add([]byte(part))
	}
	if len(c.Body) > 0 {
		add(c.Body)
	} else {
		add([]byte(c.Caller))
	}
	return Fingerprint(binary.BigEndian.Uint64(hash.Sum(nil)))
}
