package entryvm

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"math/big"
	"net"
	"sync"
	"testing"
	"time"

	"bergamotreel/internal/pipenet"
	"bergamotreel/internal/testkit"
)

var fleetSecret = []byte("0123456789abcdef0123456789abcdef")

// recorder is a Handler that records what it receives.
type recorder struct {
	mu        sync.Mutex
	digests   [][]Digest
	demand    []Demand
	histories []UnitHistory
	records   Records
}

func (r *recorder) Exchange(digests []Digest) []Digest {
	r.mu.Lock()
	r.digests = append(r.digests, digests)
	r.mu.Unlock()
	return []Digest{{VM: "callee"}}
}

func (r *recorder) Want(_ string, demand []Demand) { r.demand = demand }

func (r *recorder) Histories(histories []UnitHistory) { r.histories = histories }

func (r *recorder) Records(from uint64, _ time.Duration) (Records, error) {
	if from == 0 {
		return Records{}, errors.New("no such offset")
	}
	return r.records, nil
}

func (r *recorder) Claimed(query ClaimQuery) ClaimReply {
	return ClaimReply{Applied: uint64(query.Shard), Held: true}
}

func (r *recorder) Claim(call ClaimCall) ClaimResult {
	return ClaimResult{State: ClaimPending, Answer: call.Record, Applied: uint64(call.Shard)}
}

func (r *recorder) Settle(call ClaimCall) bool { return call.Shards == 4 }

// startServer serves the handler and returns a function that stops the server.
func startServer(t *testing.T, listener net.Listener, handler Handler, config *tls.Config, options ...Option) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- Serve(ctx, listener, fleetSecret, handler, config, options...) }()
	return func() {
		cancel()
		testkit.WantError(t, "served", <-ended, nil)
	}
}

func newTestClient(t *testing.T, p *pipenet.Listener, secret []byte, config *tls.Config) *Client {
	client := testkit.Value(NewClient(secret, 0, config))(t)
	client.dialTCP = p.DialContext
	return client
}

// selfSigned returns a TLS configuration that trusts every certificate, so that only the
// fleet secret authenticates peers.
func selfSigned(t *testing.T) *tls.Config {
	key := testkit.Value(ecdsa.GenerateKey(elliptic.P256(), rand.Reader))(t)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	certificate := testkit.Value(x509.CreateCertificate(rand.Reader, template, template, key.Public(), key))(t)
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true,
		Certificates:       []tls.Certificate{{Certificate: [][]byte{certificate}, PrivateKey: key}},
	}
}
