package caller

import (
	"sync/atomic"
	"syscall"
)

const (
	// reservedFiles are kept for what is no request: listeners, the platform,
	// other entry VMs, idle connections to backend servers.
	reservedFiles = 512
	// filesPerRequest: the caller's connection and the backend server's.
	filesPerRequest = 2
	// sharedSaving of sharedOf streams that share a connection to their engine
	// need no file there. The others are those that may need one all of a sudden:
	// streams whose shared connections broke are taken up again one by one, and a
	// quarter of all is far more than one engine runs.
	sharedSaving, sharedOf = 3, 4
	// unlimited is more connections than there will be.
	unlimited = 1 << 30
)

// connectionBound counts the callers' connections and bounds them by the
// settings and by the process's limit of open files.
//
// Without it a burst of callers takes the last file descriptors: requests that
// were accepted then find no way to their engine, and further callers wait in
// the kernel's queue, unheard. With it they are refused at once.
type connectionBound struct {
	connections int
	// files is the limit of open files.
	files uint64
	// shared is Limits.Shared, never nil.
	shared func() int
	// open and over count the connections within the bound and those that are
	// there only to be refused.
	open, over atomic.Int64
}

func newConnectionBound(limits Limits) *connectionBound {
	b := &connectionBound{connections: limits.Connections, files: openFiles(), shared: limits.SharedStreams}
	if b.shared == nil {
		b.shared = func() int { return 0 }
	}
	return b
}

// openFiles is the process's limit, or a very high one if it can't be known.
func openFiles() uint64 {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return unlimited + 1
	}
	return files.Cur
}

// allowed is how many connections may be open now.
func (b *connectionBound) allowed() int64 {
	// A caller's connection with several requests still takes one file.
	shared := min(int64(b.shared()), b.open.Load())
	return min(int64(b.connections), servedWith(b.files, shared))
}

// exceeded tells whether more are open than may be: they were accepted while
// more streams were shared than are now.
func (b *connectionBound) exceeded() bool { return b.open.Load() > b.allowed() }

// servedWith is how many connections can be served with that many open files,
// where that many streams share a connection to their engine.
func servedWith(files uint64, shared int64) int64 {
	if files > unlimited {
		return unlimited
	}
	saved := shared * sharedSaving / sharedOf
	return max(1, (int64(files)-reservedFiles+saved)/filesPerRequest)
}
