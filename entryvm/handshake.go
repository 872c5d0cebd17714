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
// Each side draws its own nonce, so an old proof is worth nothing; the roles
// differ, so a proof can't be sent back to its maker. Under TLS the binding is
// keying material of that TLS session: a proof relayed by somebody between two
// TLS sessions fails, so the certificates need no authority. Without TLS the
// handshake keeps strangers out but does not protect the later bytes from
// somebody who can alter packets on the way.
const (
	magic      = "BRPEER01"
	nonceBytes = 32
	helloBytes = len(magic) + nonceBytes
	// MinSecretBytes is the shortest fleet secret: a stranger who accepts our
	// connection sees our proof and can try secrets against it.
	MinSecretBytes = 32
	// handshakeTimeout bounds the handshake: three one-way messages, at most
	// half a second between regions.
	handshakeTimeout = 2 * time.Second
)

// Roles in the proofs.
const (
	roleClient = "client"
	roleServer = "server"
)

// errUnauthenticated says that the other side took part in the handshake and
// doesn't know the secret.
var errUnauthenticated = errs.New("the other side does not know the fleet secret")

func checkSecret(secret []byte) error {
	if len(secret) < MinSecretBytes {
		return Error.New("fleet secret of %d bytes is shorter than %d", len(secret), MinSecretBytes)
	}
	return nil
}

// shakeAsClient proves to the server that we know the secret and has it prove
// the same.
func shakeAsClient(conn net.Conn, secret []byte) error {
	return withDeadline(conn, func() error {
		mine, err := sendHello(conn)
		if err != nil {
			return err
		}
		theirs, err := readHello(conn)
		if err != nil {
			return err
		}
		session := session{secret: secret, client: mine, server: theirs, binding: binding(conn)}
		if _, err := conn.Write(session.proof(roleClient)); err != nil {
			return err
		}
		return session.check(conn, roleServer)
	})
}

// shakeAsServer is the other side. It proves nothing to a client that has not
// proved itself first.
func shakeAsServer(conn net.Conn, secret []byte) error {
	return withDeadline(conn, func() error {
		theirs, err := readHello(conn)
		if err != nil {
			return err
		}
		mine, err := sendHello(conn)
		if err != nil {
			return err
		}
		session := session{secret: secret, client: theirs, server: mine, binding: binding(conn)}
		if err := session.check(conn, roleClient); err != nil {
			return err
		}
		_, err = conn.Write(session.proof(roleServer))
		return err
	})
}

// withDeadline runs one side's handshake within handshakeTimeout.
func withDeadline(conn net.Conn, shake func() error) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}
	if secure, ok := conn.(*tls.Conn); ok {
		if err := secure.Handshake(); err != nil {
			return err
		}
	}
	if err := shake(); err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}

// sendHello sends a fresh nonce and returns it.
func sendHello(conn net.Conn) ([]byte, error) {
	hello := make([]byte, helloBytes)
	copy(hello, magic)
	nonce := hello[len(magic):]
	if _, err := rand.Read(nonce); err != nil {
		return nil, err
	}
	_, err := conn.Write(hello)
	return nonce, err
}

// readHello returns the other side's nonce.
func readHello(conn net.Conn) ([]byte, error) {
	hello := make([]byte, helloBytes)
	if _, err := io.ReadFull(conn, hello); err != nil {
		return nil, err
	}
	if string(hello[:len(magic)]) != magic {
		return nil, fmt.Errorf("not an entry VM's hello: %q", hello[:len(magic)])
	}
	return hello[len(magic):], nil
}

// binding is the TLS session's keying material, empty without TLS.
func binding(conn net.Conn) []byte {
	secure, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	state := secure.ConnectionState()
	material, err := state.ExportKeyingMaterial("bergamotreel entryvm", nil, nonceBytes)
	if err != nil {
		// Only TLS below 1.3 without extended master secrets; TLSConfig rules
		// it out. A binding that no other side has lets the handshake fail.
		return []byte(err.Error() + rand.Text())
	}
	return material
}

// session is what both sides know after the hellos.
type session struct {
	secret, client, server, binding []byte
}

// proof is what the side with this role must send.
func (s session) proof(role string) []byte {
	mac := hmac.New(sha256.New, s.secret)
	mac.Write([]byte(role))
	mac.Write(s.client)
	mac.Write(s.server)
	mac.Write(s.binding)
	return mac.Sum(nil)
}

// check reads the other side's proof.
func (s session) check(conn net.Conn, role string) error {
	got := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, got); err != nil {
		return err
	}
	if !hmac.Equal(got, s.proof(role)) {
		return fmt.Errorf("%w: %s", errUnauthenticated, role)
	}
	return nil
}
