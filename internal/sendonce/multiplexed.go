package sendonce

import (
	"net"
	"net/http"
	"time"
)

const (
	// maxStreamBufferBytes limits the bytes of one answer that are buffered for
	// a caller that reads slowly, about 300 tokens. Beyond it, flow control
	// makes the backend server wait.
	maxStreamBufferBytes = 64 << 10
	// pingInterval is how long a multiplexed connection may be silent before a
	// ping tests it, and pingTimeout how long the reply may take. Without pings,
	// a backend server that vanished leaves a connection on which all its
	// streams and every new request would wait.
	pingInterval = 3 * time.Second
	pingTimeout  = 2 * time.Second
)

// NewMultiplexedClient returns an HTTP client that speaks unencrypted HTTP/2,
// with many requests on each connection. It needs servers that are known to
// support it.
//
// Do sends each request at most once over this client too. But on a shared
// connection the written bytes can't be attributed to one request, so Do
// reports a request as not sent only if no connection was made, and as possibly
// sent for every later failure.
func NewMultiplexedClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return NewMultiplexedClientWithDial(dialer.DialContext)
}

// NewMultiplexedClientWithDial returns a client like NewMultiplexedClient that
// makes its connections with dial.
func NewMultiplexedClientWithDial(dial DialFunc) *http.Client {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		// Not wrapped in countingConn: canceling one request before its first
		// byte would disable the connection for the writes of all others.
		DialContext:            dial,
		Protocols:              &protocols,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: MaxHeadBytes,
		HTTP2: &http.HTTP2Config{
			MaxReceiveBufferPerStream: maxStreamBufferBytes,
			SendPingTimeout:           pingInterval,
			PingTimeout:               pingTimeout,
		},
	}}
}
