// Package news sends placement updates to other entries in datagrams, and receives theirs. Datagrams
// carry an authentication code, if the deployment has a shared secret.
package news

import (
	"crypto/hmac"
	"crypto/sha256"
	"fmt"
	"net"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"waxwingcart/internal/wire"
)

const (
	// maxBatchBytes bounds the updates in one datagram, so that it fits in a
	// packet.
	maxBatchBytes = 1200
	// maxDatagramBytes bounds a received datagram.
	maxDatagramBytes = 16 << 10
)

// Signer authenticates datagrams.
type Signer struct{ key []byte }

// NewSigner returns the signer for a secret. With an empty one, datagrams carry no code.
func NewSigner(secret string) Signer {
	if secret == "" {
		return Signer{}
	}
	key := sha256.Sum256([]byte("news\n" + secret))
	return Signer{key: key[:]}
}

// Sign appends an authentication code.
func (s Signer) Sign(data []byte) []byte {
	if s.key == nil {
		return data
	}
	code := hmac.New(sha256.New, s.key)
	_, _ = code.Write(data)
	return code.Sum(data)
}

// Verify checks and removes the code that Sign appended.
func (s Signer) Verify(data []byte) ([]byte, bool) {
	if s.key == nil {
		return data, true
	}
	if len(data) < sha256.Size {
		return nil, false
	}
	body := data[:len(data)-sha256.Size]
	return body, hmac.Equal(s.Sign(append([]byte(nil), body...)), data)
}

// Destination is a receiver, with the scope in which it forwards the updates.
type Destination struct {
	Address *net.UDPAddr
	Scope   uint32
}

// Socket sends and receives updates.
type Socket struct {
	conn   net.PacketConn
	signer Signer
	logger *log.Logger
}

// Listen returns a socket at an address.
func Listen(address string, signer Signer, logger *log.Logger) (*Socket, error) {
	conn, err := net.ListenPacket("udp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for placement updates: %w", err)
	}
	return NewSocket(conn, signer, logger), nil
}

// NewSocket returns a socket that uses a connection.
func NewSocket(conn net.PacketConn, signer Signer, logger *log.Logger) *Socket {
	return &Socket{conn: conn, signer: signer, logger: logger}
}

// Close closes the socket.
func (s *Socket) Close() { _ = s.conn.Close() }

// Send sends updates in datagrams of bounded size. Destinations of one scope should be neighbours.
func (s *Socket) Send(to []Destination, updates []*wire.News) {
	for len(updates) > 0 {
		count, size := 0, 0
		for count < len(updates) && (count == 0 || size+proto.Size(updates[count]) <= maxBatchBytes) {
			size += proto.Size(updates[count])
			count++
		}
		s.sendBatch(to, updates[:count])
		updates = updates[count:]
	}
}

func (s *Socket) sendBatch(to []Destination, list []*wire.News) {
	var data []byte
	for i, destination := range to {
		if i == 0 || destination.Scope != to[i-1].Scope {
			encoded, err := proto.Marshal(&wire.NewsBatch{News: list, Scope: destination.Scope})
			if err != nil {
				s.logger.Error().Str("step", "news").Err(err).Msg("encoding placement updates failed")
				return
			}
			data = s.signer.Sign(encoded)
		}
		// Errors are ignored, because datagrams may be lost anyway.
		_, _ = s.conn.WriteTo(data, destination.Address)
	}
}

// Receive handles datagrams until the socket is closed.
func (s *Socket) Receive(handle func(*wire.NewsBatch)) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, _, err := s.conn.ReadFrom(buffer)
		if err != nil {
			return
		}
		body, ok := s.signer.Verify(buffer[:size])
		if !ok {
			continue
		}
		var batch wire.NewsBatch
		if err := proto.Unmarshal(body, &batch); err != nil {
			s.logger.Debug().Str("step", "news").Err(err).Msg("decoding placement updates from another entry failed")
			continue
		}
		handle(&batch)
	}
}
