package caller

import "syscall"

const (
	// reservedFiles are kept for what is no request: listeners, the platform,
	// other entry VMs, idle connections to backend servers.
	reservedFiles = 512
	// filesPerRequest: the caller's connection and the backend server's.
	filesPerRequest = 2
)

// connectionsWithinFiles lowers a limit of connections to what the process's
// limit of open files lets it serve.
//
// Without it a burst of callers takes the last file descriptors: requests that
// were accepted then find no way to their engine, and further callers wait in
// the kernel's queue, unheard. With it they are refused at once.
func connectionsWithinFiles(connections int) int {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return connections
	}
	return min(connections, servedWith(files.Cur))
}

// servedWith is how many connections can be served with that many open files.
func servedWith(files uint64) int {
	if files > 1<<30 { // "unlimited"
		return 1 << 30
	}
	return max(1, (int(files)-reservedFiles)/filesPerRequest)
}
