package sendonce

import (
	"net"
	"net/http"
	"time"
)

const (
	// streamBuffer is how many bytes of one answer may wait here for a caller
	// that reads slowly; then the backend server must wait. Some 300 tokens.
	maxStreamBufferBytes = 64 << 10
	// pingAfter is how long a multiplexed connection may be silent until it is
	// tried with a ping, and pingTimeout how long that may take. Failure: a
	// backend server that vanished with all its streams leaves a connection on
	// which every new request would wait as well.
	pingInterval = 3 * time.Second
	pingTimeout  = 2 * time.Second
)

// NewMultiplexedClient returns an HTTP client that speaks unencrypted HTTP/2,
// many requests on each connection, with servers that are known to speak it.
//
// Each request is sent at most once as well, but a connection that others write
// to can't tell whose bytes left: Do says "not sent" only where no connection
// came about, and "may have left" for every failure after that.
func NewMultiplexedClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return NewMultiplexedClientWithDial(dialer.DialContext)
}

// NewMultiplexedClientDialing is NewMultiplexedClient over connections from
// dial.
func NewMultiplexedClientWithDial(dial DialFunc) *http.Client {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		// Not wrapped in conn. Failure: giving up one request before its first
		// byte would close the connection to the writes of all others.
		DialContext:        dial,
		Protocols:          &protocols,
		IdleConnTimeout:    idleTimeout,
		DisableCompression: true,
		HTTP2: &http.HTTP2Config{
			MaxReceiveBufferPerStream: maxStreamBufferBytes,
			SendPingTimeout:           pingInterval,
			PingTimeout:               pingTimeout,
		},
	}}
}
