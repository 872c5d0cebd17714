package idempotency

import "encoding/binary"

// appendUint appends a number as a variable-length integer.
func appendUint(data []byte, n uint64) []byte { return binary.AppendUvarint(data, n) }

// appendInt appends a signed number as a variable-length integer.
func appendInt(data []byte, n int64) []byte { return binary.AppendVarint(data, n) }

// appendText appends a text preceded by its length.
func appendText[T string | []byte](data []byte, text T) []byte {
	data = appendUint(data, uint64(len(text)))
	return append(data, text...)
}

// reader decodes an encoding from its start. Truncated or malformed input sets
// failed; everything read after that is zero or empty.
type reader struct {
	data   []byte
	failed bool
}

// take returns the next n bytes.
func (r *reader) take(n uint64) []byte {
	if r.failed || n > uint64(len(r.data)) {
		r.failed, r.data = true, nil
		return nil
	}
	taken := r.data[:n:n]
	r.data = r.data[n:]
	return taken
}

func (r *reader) uint() uint64 {
	n, length := binary.Uvarint(r.data)
	return n * r.advance(length)
}

func (r *reader) int() int64 {
	n, length := binary.Varint(r.data)
	return n * int64(r.advance(length))
}

// advance moves past a number of the given encoded length. It returns 1, or 0
// if the number is malformed.
func (r *reader) advance(length int) uint64 {
	if length <= 0 {
		r.failed, r.data = true, nil
		return 0
	}
	r.data = r.data[length:]
	return 1
}

func (r *reader) text() []byte { return r.take(r.uint()) }

func (r *reader) byte() byte {
	if b := r.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *reader) key() (key Key) {
	copy(key[:], r.take(keyBytes))
	return key
}

func (r *reader) digest() Digest {
	if b := r.take(8); b != nil {
		return Digest(binary.BigEndian.Uint64(b))
	}
	return 0
}

// nameList numbers names in the order in which they are first used.
type nameList struct {
	names []string
	index map[string]uint64
}

func (l *nameList) number(name string) uint64 {
	n, known := l.index[name]
	if !known {
		n = uint64(len(l.names))
		if l.index == nil {
			l.index = make(map[string]uint64)
		}
		l.index[name] = n
		l.names = append(l.names, name)
	}
	return n
}

func (l *nameList) append(data []byte) []byte {
	data = appendUint(data, uint64(len(l.names)))
	for _, name := range l.names {
		data = appendText(data, name)
	}
	return data
}

// names decodes what nameList.append encoded.
func (r *reader) names() []string {
	count := r.uint()
	if count > uint64(len(r.data)) {
		r.failed = true
		return nil
	}
	names := make([]string, count)
	for i := range names {
		names[i] = string(r.text())
	}
	return names
}

// id decodes a claim's ID, whose claimer is encoded as an index of names.
func (r *reader) id(names []string) ClaimID {
	n := r.uint()
	if n >= uint64(len(names)) {
		r.failed = true
		return ClaimID{}
	}
	return ClaimID{Claimer: names[n], Sequence: r.uint()}
}

// revision decodes what appendRevision encoded.
func (r *reader) revision() Revision {
	offset, index := r.uint(), r.uint()
	if offset > maxOffset || index >= MaxEntries {
		r.failed = true
		return 0
	}
	return MakeRevision(offset, int(index))
}

func appendRevision(data []byte, rev Revision) []byte {
	return appendUint(appendUint(data, rev.Offset()), rev.index())
}
