// Package rpc carries calls between waxwingcart's own processes: twirp over
// HTTP, authenticated by a shared key.
package rpc

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/twitchtv/twirp"
)

// Limits on calls between processes.
const (
	// dialTimeout is several times the way between zones and back. A VM without
	// power answers nothing, and a lost first packet is repeated only after a
	// second, so that another try is faster.
	dialTimeout         = 150 * time.Millisecond
	idleConnTimeout     = 30 * time.Second
	maxIdleConnsPerPeer = 16
	// MaxBodyBytes bounds the body of one call.
	MaxBodyBytes = 64 << 20
)

// Key authenticates processes of one deployment to each other.
type Key struct{ hash [sha256.Size]byte }

// NewKey returns the key for a secret.
func NewKey(secret string) Key {
	return Key{hash: sha256.Sum256([]byte(secret))}
}

// Matches compares a secret in constant time.
func (k Key) Matches(secret string) bool {
	hash := sha256.Sum256([]byte(secret))
	return subtle.ConstantTimeCompare(hash[:], k.hash[:]) == 1
}

// Bearer returns the bearer token of a request, or "".
func Bearer(r *http.Request) string {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return ""
	}
	return token
}

// Require wraps a handler so that it serves only callers with the key.
func Require(key Key, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !key.Matches(Bearer(r)) {
			// The server would wait for the rest of the body otherwise.
			w.Header().Set("Connection", "close")
			_ = http.NewResponseController(w).SetReadDeadline(time.Now())
			_ = twirp.WriteError(w, twirp.NewError(twirp.Unauthenticated, "wrong or missing key"))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, MaxBodyBytes)
		next.ServeHTTP(w, r)
	})
}

// Client sends calls with the shared key.
type Client struct {
	secret string
	http   *http.Client
}

// NewClient returns a client that authenticates with the secret.
func NewClient(secret string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		secret: secret,
		http: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: maxIdleConnsPerPeer,
			IdleConnTimeout:     idleConnTimeout,
		}},
	}
}

// Do implements the twirp HTTP client. After a call that ran out of time the
// idle connections are dropped: what made one connection silent may have made
// others silent as well, while new ones work.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	req.Header.Set("Authorization", "Bearer "+c.secret)
	response, err := c.http.Do(req)
	if err != nil && errors.Is(req.Context().Err(), context.DeadlineExceeded) {
		c.http.CloseIdleConnections()
	}
	return response, err
}

// leaderMeta is the twirp error's key for the leader's address.
const leaderMeta = "leader"

// NotLeader returns the error of a replica that is not the leader. The
// leader's address may be empty.
func NotLeader(leader string) error {
	return twirp.NewError(twirp.FailedPrecondition, "not the leader").WithMeta(leaderMeta, leader)
}

// LeaderOf reports whether an error says that the called replica is not the
// leader, and the leader's address if it knew one.
func LeaderOf(err error) (string, bool) {
	var twerr twirp.Error
	if !errors.As(err, &twerr) || twerr.Code() != twirp.FailedPrecondition {
		return "", false
	}
	return twerr.Meta(leaderMeta), true
}

// Wrap adds the step and the peer to an error.
func Wrap(step, peer string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%s: peer %s: %w", step, peer, err)
}
