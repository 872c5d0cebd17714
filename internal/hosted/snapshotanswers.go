package hosted

import (
	"bytes"
	"compress/gzip"
	"io"

	"bergamotreel/entryvm"
	"bergamotreel/internal/telemetry"
	"bergamotreel/registry"
)

// encodedSnapshot is a compressed snapshot of a topic at a position.
type encodedSnapshot struct {
	position uint64
	encoded  []byte
}

// answer returns what this VM has of the topics that another VM lacks.
func (s *snapshots) answer(args entryvm.KnowledgeArgs) entryvm.KnowledgeReply {
	var reply entryvm.KnowledgeReply
	s.addConfiguration(args.Configuration, &reply)
	if !args.WithoutBackends {
		s.addBackends(args.BackendsCursor, &reply)
	}
	if sent := len(reply.Configuration) + len(reply.Backends); sent > 0 {
		snapshotsSent.Inc()
		snapshotBytesSent.Add(sent)
	}
	return reply
}

// addConfiguration adds the configuration in force to a reply if it is newer than the given version.
// The cursor is read before the configuration: the receiver may read a change again, but misses none.
func (s *snapshots) addConfiguration(newerThan uint64, reply *entryvm.KnowledgeReply) {
	n := s.node
	cursor, age, known := n.configurationFeed.Snapshot(n.config.BootClock(), func() {})
	current := n.active.Load()
	if !known || current == nil {
		return
	}
	reply.ConfigurationPosition = &entryvm.FeedPosition{Cursor: uint64(cursor), Age: age, Version: current.Version}
	if current.Version > newerThan {
		reply.Configuration = s.encode(&s.configuration, current.Version, func() ([]byte, error) { return current.Source, nil })
	}
}

// addBackends adds the list of backend servers to a reply if it is newer than the given cursor.
func (s *snapshots) addBackends(newerThan uint64, reply *entryvm.KnowledgeReply) {
	n := s.node
	var list []registry.Backend
	cursor, age, known := n.backendsFeed.Snapshot(n.config.BootClock(), func() { list = n.backends.listRegistered() })
	if !known {
		return
	}
	reply.BackendsPosition = &entryvm.FeedPosition{Cursor: uint64(cursor), Age: age}
	if uint64(cursor) <= newerThan {
		return
	}
	reply.Backends = s.encode(&s.backends, uint64(cursor), func() ([]byte, error) { return encodeBackends(list) })
}

// encode returns the compressed snapshot of a topic at a position. All VMs that ask at that position
// share it.
func (s *snapshots) encode(cached *encodedSnapshot, position uint64, source func() ([]byte, error)) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cached.encoded != nil && cached.position == position {
		return cached.encoded
	}
	data, err := source()
	if err == nil {
		data, err = compress(data)
	}
	if err != nil {
		s.node.config.Logger.Error("snapshot can't be encoded", telemetry.Reason(err))
		return nil
	}
	*cached = encodedSnapshot{position, data}
	return data
}

func compress(data []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// decompress reverts compress. It fails if the data was altered, by gzip's check sum.
func decompress(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	out, err := io.ReadAll(io.LimitReader(r, maxSnapshotBytes+1))
	if err != nil {
		return nil, err
	}
	if len(out) > maxSnapshotBytes {
		return nil, errSnapshotTooLarge
	}
	return out, nil
}
