package entryvm

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/zeebo/errs"
)

// The handshake on a fresh connection, before net/rpc starts:
//
//	client -> server  hello: magic, client nonce
//	server -> client  hello: magic, server nonce
//	client -> server  HMAC-SHA256(secret, "client" | client nonce | server nonce | binding)
//	server -> client  HMAC-SHA256(secret, "server" | client nonce | server nonce | binding)
//
// Each side generates a fresh nonce, so a recorded proof can't be replayed. The roles differ,
// so a proof can't be reflected to its sender. Under TLS the binding is keying material of the
// TLS session: a proof relayed between two TLS sessions fails, so the certificates need no
// certificate authority. Without TLS the handshake rejects peers that don't know the secret,
// but doesn't protect the bytes after it from an attacker who can modify packets in transit.
//
// The client's magic states the purpose of the connection; the roles in the proofs differ by
// purpose, so that nobody on the way can change it.
const (
	magicBytes = 8
	nonceBytes = 32
	helloBytes = magicBytes + nonceBytes
	// MinSecretBytes is the minimum length of the fleet secret. A server run by an attacker
	// receives our proof and can test candidate secrets against it offline.
	MinSecretBytes = 32
	// handshakeTimeout bounds the handshake: three one-way messages take at most half a
	// second between regions.
	handshakeTimeout = 2 * time.Second
)

// purpose is what a connection is for.
type purpose struct {
	// magic begins the hellos of both sides.
	magic string
	// clientRole and serverRole distinguish the proofs of the two sides.
	clientRole, serverRole string
}

var (
	purposeCalls  = purpose{magic: "BRPEER01", clientRole: "client", serverRole: "server"}
	purposeTunnel = purpose{magic: "BRTUNL01", clientRole: "tunnel client", serverRole: "tunnel server"}
)

// errUnauthenticated reports that the other side completed the handshake with a proof that
// the fleet secret does not yield.
var errUnauthenticated = errs.New("the other side does not know the fleet secret")

func checkSecret(secret []byte) error {
	if len(secret) < MinSecretBytes {
		return Error.New("fleet secret of %d bytes is shorter than %d", len(secret), MinSecretBytes)
	}
	return nil
}

// clientHandshake proves to the server that this side knows the secret, and verifies the
// server's proof.
func clientHandshake(conn net.Conn, secret []byte, p purpose) error {
	return withHandshakeTimeout(conn, func() error {
		clientNonce, err := sendHello(conn, p)
		if err != nil {
			return err
		}
		serverPurpose, serverNonce, err := readHello(conn)
		if err != nil {
			return err
		}
		if serverPurpose != p {
			return fmt.Errorf("hello for another purpose: %q", serverPurpose.magic)
		}
		session := session{secret: secret, client: clientNonce, server: serverNonce, binding: binding(conn)}
		if _, err := conn.Write(session.proof(p.clientRole)); err != nil {
			return err
		}
		return session.verifyProof(conn, p.serverRole)
	})
}

// serverHandshake is the server's side of the handshake, and returns what the connection is
// for. It sends its proof only after the client's proof has been verified.
func serverHandshake(conn net.Conn, secret []byte) (p purpose, err error) {
	err = withHandshakeTimeout(conn, func() error {
		var clientNonce []byte
		p, clientNonce, err = readHello(conn)
		if err != nil {
			return err
		}
		serverNonce, err := sendHello(conn, p)
		if err != nil {
			return err
		}
		session := session{secret: secret, client: clientNonce, server: serverNonce, binding: binding(conn)}
		if err := session.verifyProof(conn, p.clientRole); err != nil {
			return err
		}
		_, err = conn.Write(session.proof(p.serverRole))
		return err
	})
	return p, err
}

// withHandshakeTimeout runs one side's handshake, including TLS, within handshakeTimeout.
func withHandshakeTimeout(conn net.Conn, handshake func() error) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}
	if secure, ok := conn.(*tls.Conn); ok {
		if err := secure.Handshake(); err != nil {
			return err
		}
	}
	if err := handshake(); err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}

// sendHello sends a fresh nonce and returns it.
func sendHello(conn net.Conn, p purpose) ([]byte, error) {
	hello := make([]byte, helloBytes)
	copy(hello, p.magic)
	nonce := hello[magicBytes:]
	if _, err := rand.Read(nonce); err != nil {
		return nil, err
	}
	_, err := conn.Write(hello)
	return nonce, err
}

// readHello returns what the connection is for, and the other side's nonce.
func readHello(conn net.Conn) (purpose, []byte, error) {
	hello := make([]byte, helloBytes)
	if _, err := io.ReadFull(conn, hello); err != nil {
		return purpose{}, nil, err
	}
	for _, p := range []purpose{purposeCalls, purposeTunnel} {
		if string(hello[:magicBytes]) == p.magic {
			return p, hello[magicBytes:], nil
		}
	}
	return purpose{}, nil, fmt.Errorf("not an entry VM's hello: %q", hello[:magicBytes])
}

// binding returns keying material of the TLS session, nil without TLS.
func binding(conn net.Conn) []byte {
	secure, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	state := secure.ConnectionState()
	material, err := state.ExportKeyingMaterial("bergamotreel entryvm", nil, nonceBytes)
	if err != nil {
		// ExportKeyingMaterial fails only for TLS below 1.3 without extended master secrets,
		// which TLSConfig rules out. A random binding matches no other side's, so the
		// handshake fails.
		return []byte(err.Error() + rand.Text())
	}
	return material
}

// session holds what both sides know after the hellos.
type session struct {
	secret, client, server, binding []byte
}

// proof returns the proof that the side with this role must send.
func (s session) proof(role string) []byte {
	mac := hmac.New(sha256.New, s.secret)
	mac.Write([]byte(role))
	mac.Write(s.client)
	mac.Write(s.server)
	mac.Write(s.binding)
	return mac.Sum(nil)
}

// verifyProof reads and verifies the proof of the other side, which has the given role.
func (s session) verifyProof(conn net.Conn, role string) error {
	got := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, got); err != nil {
		return err
	}
	if !hmac.Equal(got, s.proof(role)) {
		return fmt.Errorf("%w: %s", errUnauthenticated, role)
	}
	return nil
}
