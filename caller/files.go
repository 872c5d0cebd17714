package caller

import (
	"sync/atomic"
	"syscall"
)

const (
	// reservedFiles is the number of files reserved for uses other than requests:
	// listeners, the platform, other entry VMs and idle connections to backend
	// servers.
	reservedFiles = 512
	// filesPerRequest counts the caller's connection and the one to the backend server.
	filesPerRequest = 2
	// Of the streams that share a connection to their engine, the fraction
	// savedFilesNumerator/savedFilesDenominator is counted as needing no file of their
	// own. The rest keep a reserve: when a shared connection breaks, its streams are
	// resumed one by one, each with a file. A reserve of a quarter is far more than
	// the streams of one engine.
	savedFilesNumerator, savedFilesDenominator = 3, 4
	// unlimited stands for no limit; it exceeds any possible number of connections.
	unlimited = 1 << 30
)

// connectionLimiter counts the callers' connections and limits them by the settings
// and by the process's limit on open files.
//
// Without it a burst of callers uses up the file descriptors: accepted requests
// can't connect to their engine, and further callers wait in the kernel's accept
// queue without an answer. With it they are refused at once.
type connectionLimiter struct {
	maxConnections int
	// maxFiles is the process's limit on open files.
	maxFiles uint64
	// sharedStreams is Limits.SharedStreams, never nil.
	sharedStreams func() int
	// open counts the connections within the limit, overflow those that are accepted
	// only to be refused.
	open, overflow atomic.Int64
}

func newConnectionLimiter(limits Limits) *connectionLimiter {
	l := &connectionLimiter{maxConnections: limits.Connections, maxFiles: openFileLimit(), sharedStreams: limits.SharedStreams}
	if l.sharedStreams == nil {
		l.sharedStreams = func() int { return 0 }
	}
	return l
}

// openFileLimit returns the process's limit on open files, or a very high value if
// the limit can't be read.
func openFileLimit() uint64 {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return unlimited + 1
	}
	return files.Cur
}

// maxOpen returns how many connections may be open at present.
func (l *connectionLimiter) maxOpen() int64 {
	// Several streams may share one caller's connection (HTTP/2), which is one file.
	shared := min(int64(l.sharedStreams()), l.open.Load())
	return min(int64(l.maxConnections), maxConnectionsFor(l.maxFiles, shared))
}

// isExceeded reports whether more connections are open than maxOpen allows. They
// were accepted while more streams shared connections than at present.
func (l *connectionLimiter) isExceeded() bool { return l.open.Load() > l.maxOpen() }

// maxConnectionsFor returns how many connections can be served with a limit of files
// open files while shared streams share a connection to their engine.
func maxConnectionsFor(files uint64, shared int64) int64 {
	if files > unlimited {
		return unlimited
	}
	saved := shared * savedFilesNumerator / savedFilesDenominator
	return max(1, (int64(files)-reservedFiles+saved)/filesPerRequest)
}
