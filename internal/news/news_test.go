package news

import (
	"bytes"
	"testing"
)

// With a shared secret, only datagrams from entries of the deployment are
// accepted.
func TestUpdatesAreAuthenticated(t *testing.T) {
	b := NewSigner("secret")
	signed := b.Sign([]byte("body"))
	if body, ok := b.Verify(signed); !ok || !bytes.Equal(body, []byte("body")) {
		t.Errorf("got body %q, verified %t; want the signed body", body, ok)
	}
	signed[0] ^= 1
	if _, ok := b.Verify(signed); ok {
		t.Error("a modified datagram was accepted")
	}
	if _, ok := b.Verify([]byte("short")); ok {
		t.Error("a short datagram was accepted")
	}
	other := NewSigner("other")
	if _, ok := b.Verify(other.Sign([]byte("body"))); ok {
		t.Error("another deployment's datagram was accepted")
	}
}
