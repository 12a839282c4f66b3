package peer

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/x509"
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/wire"
)

const (
	protocolVersion = 1
	nonceSize       = 32
	maxHelloBytes   = 4096
	clientLabel     = "lovagereach peer client proof"
	serverLabel     = "lovagereach peer server proof"
)

// hello states the identity of one side. The exchange is: client hello, server
// hello with proof, client proof, server verdict. Either side may send a
// refusal in place of its next message.
type hello struct {
	Version     uint32            `cbor:"1,keyasint"`
	Cluster     string            `cbor:"2,keyasint"`
	Host        ident.Host        `cbor:"3,keyasint"`
	DataCentre  ident.DataCentre  `cbor:"4,keyasint"`
	Incarnation ident.Incarnation `cbor:"5,keyasint"`
	Role        string            `cbor:"6,keyasint"`
	Nonce       []byte            `cbor:"7,keyasint"`
}

type refusal struct {
	Reason RefusalReason `cbor:"1,keyasint"`
	Detail string        `cbor:"2,keyasint"`
}

// helloMessage is one message of the exchange. Hello stays encoded because the
// proofs cover its bytes.
type helloMessage struct {
	Hello   []byte   `cbor:"1,keyasint,omitempty"`
	Proof   []byte   `cbor:"2,keyasint,omitempty"`
	Refusal *refusal `cbor:"3,keyasint,omitempty"`
}

func (h hello) peer() port.Peer {
	return port.Peer{
		Host:        h.Host,
		DataCentre:  h.DataCentre,
		Incarnation: h.Incarnation,
		Role:        h.Role,
	}
}

// handshake is the hello exchange of one connection.
type handshake struct {
	options Options
	roster  *roster
	ws      *websocket.Conn
	// certificate is the verified leaf certificate of the remote side, nil
	// without TLS.
	certificate *x509.Certificate
}

// client performs the dialling side's part and returns the remote peer.
func (h handshake) client(ctx context.Context) (port.Peer, error) {
	seq, own := h.nextHello()
	if err := h.write(ctx, helloMessage{Hello: own}); err != nil {
		return port.Peer{}, err
	}
	answer, err := h.read(ctx)
	if err != nil {
		return port.Peer{}, err
	}
	remote, err := h.check(answer, proof(h.options.Key, serverLabel, own, answer.Hello), seq)
	if err != nil {
		return port.Peer{}, h.refuse(ctx, err)
	}
	mine := proof(h.options.Key, clientLabel, own, answer.Hello)
	if err := h.write(ctx, helloMessage{Proof: mine}); err != nil {
		return port.Peer{}, err
	}
	if _, err := h.read(ctx); err != nil {
		return port.Peer{}, err
	}
	return remote, nil
}

// server performs the accepting side's part and returns the remote peer.
func (h handshake) server(ctx context.Context) (port.Peer, error) {
	first, err := h.read(ctx)
	if err != nil {
		return port.Peer{}, err
	}
	if _, err := h.checkHello(first.Hello); err != nil {
		return port.Peer{}, h.refuse(ctx, err)
	}
	seq, own := h.nextHello()
	mine := proof(h.options.Key, serverLabel, first.Hello, own)
	if err := h.write(ctx, helloMessage{Hello: own, Proof: mine}); err != nil {
		return port.Peer{}, err
	}
	second, err := h.read(ctx)
	if err != nil {
		return port.Peer{}, err
	}
	second.Hello = first.Hello
	remote, err := h.check(second, proof(h.options.Key, clientLabel, first.Hello, own), seq)
	if err != nil {
		return port.Peer{}, h.refuse(ctx, err)
	}
	return remote, h.write(ctx, helloMessage{})
}

// check verifies the remote hello and the proof, which answers the hello numbered
// answered, and then admits the incarnation. The incarnation comes last, so that a
// process without the key can't supersede a peer.
func (h handshake) check(t helloMessage, want []byte, answered helloSeq) (port.Peer, error) {
	remote, err := h.checkHello(t.Hello)
	if err != nil {
		return port.Peer{}, err
	}
	if !hmac.Equal(t.Proof, want) {
		return port.Peer{}, h.refused(RefusedKey, "the shared keys of the two processes differ")
	}
	if err := h.roster.admit(remote, answered); err != nil {
		return port.Peer{}, err
	}
	return remote, nil
}

// checkHello decodes a hello and verifies all but the proof.
func (h handshake) checkHello(data []byte) (port.Peer, error) {
	var remote hello
	if err := wire.Unmarshal(data, &remote); err != nil {
		return port.Peer{}, h.refused(RefusedBadHello, "the hello does not decode")
	}
	if remote.Version != protocolVersion {
		detail := fmt.Sprintf("protocol version %d is needed, got %d", protocolVersion, remote.Version)
		return port.Peer{}, h.refused(RefusedProtocol, detail)
	}
	if remote.Cluster != h.options.Cluster {
		detail := fmt.Sprintf("host %q belongs to deployment %q, host %q to %q",
			remote.Host, remote.Cluster, h.options.Self.Host, h.options.Cluster)
		return port.Peer{}, h.refused(RefusedCluster, detail)
	}
	if len(remote.Nonce) != nonceSize || remote.Host == "" || len(remote.Host) > maxNameLength {
		return port.Peer{}, h.refused(RefusedBadHello, "the hello lacks a nonce or a host")
	}
	if detail := certificateMismatch(h.certificate, remote); detail != "" {
		return port.Peer{}, h.refused(RefusedCertificate, detail)
	}
	return remote.peer(), nil
}

// certificateMismatch describes the claim of a hello that the certificate doesn't
// confirm; it returns an empty string if there is none. A certificate with
// organizational units allows only the roles that they name, so that an entry
// host can't pose as a control host with its own key.
func certificateMismatch(certificate *x509.Certificate, remote hello) string {
	if certificate == nil {
		return ""
	}
	if certificate.VerifyHostname(string(remote.Host)) != nil {
		return fmt.Sprintf("the certificate does not name host %q", remote.Host)
	}
	roles := certificate.Subject.OrganizationalUnit
	if len(roles) > 0 && !slices.Contains(roles, remote.Role) {
		return fmt.Sprintf("the certificate of host %q does not allow role %q", remote.Host, remote.Role)
	}
	return ""
}

func (h handshake) refused(reason RefusalReason, detail string) *RefusedError {
	return &RefusedError{Reason: reason, Detail: detail}
}

// refuse sends the reason to the remote side if err is a RefusedError, ignoring
// a failed write, and returns err.
func (h handshake) refuse(ctx context.Context, err error) error {
	var refused *RefusedError
	if eris.As(err, &refused) {
		detail := truncate(refused.Detail, maxErrorText)
		_ = h.write(ctx, helloMessage{Refusal: &refusal{Reason: refused.Reason, Detail: detail}})
	}
	return err
}

// nextHello returns this side's hello and its number. It must be called after the
// connection is established (see helloSeq).
func (h handshake) nextHello() (helloSeq, []byte) {
	seq := h.roster.issue()
	return seq, h.encodeHello()
}

func (h handshake) encodeHello() []byte {
	nonce := make([]byte, nonceSize)
	if _, err := rand.Read(nonce); err != nil {
		panic(eris.Wrap(err, "peer: random source failed"))
	}
	self := h.options.Self
	return wire.MustMarshal(hello{
		Version:     protocolVersion,
		Cluster:     h.options.Cluster,
		Host:        self.Host,
		DataCentre:  self.DataCentre,
		Incarnation: self.Incarnation,
		Role:        self.Role,
		Nonce:       nonce,
	})
}

func (h handshake) write(ctx context.Context, t helloMessage) error {
	err := h.ws.Write(ctx, websocket.MessageBinary, wire.MustMarshal(t))
	return eris.Wrap(err, "peer: write hello")
}

func (h handshake) read(ctx context.Context) (helloMessage, error) {
	kind, data, err := h.ws.Read(ctx)
	if err != nil {
		return helloMessage{}, eris.Wrap(err, "peer: read hello")
	}
	var t helloMessage
	if kind != websocket.MessageBinary || wire.Unmarshal(data, &t) != nil {
		return helloMessage{}, h.refuse(ctx, h.refused(RefusedBadHello, "the turn does not decode"))
	}
	if t.Refusal != nil {
		return helloMessage{}, &RefusedError{
			Reason:   t.Refusal.Reason,
			Detail:   t.Refusal.Detail,
			ByRemote: true,
		}
	}
	return t, nil
}

// proof returns an HMAC of both hellos under key. The label prevents one side's
// proof from being replayed as the other's. Without a key, proof returns nil and
// only the certificates authenticate the peers.
func proof(key []byte, label string, client, server []byte) []byte {
	if len(key) == 0 {
		return nil
	}
	mac := hmac.New(sha256.New, key)
	for _, part := range [][]byte{[]byte(label), client, server} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		mac.Write(length[:])
		mac.Write(part)
	}
	return mac.Sum(nil)
}
