// Package rpc makes and authenticates calls between waxwingcart's own processes.
// The calls use twirp over HTTP and a shared key.
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

	"waxwingcart/internal/answers"
	"waxwingcart/internal/sockbuf"
)

// Limits on calls between processes.
const (
	// dialTimeout is several times the round-trip time between zones. A VM that is
	// off does not answer at all, and a lost SYN is retransmitted only after one
	// second, so a new attempt is faster than waiting.
	dialTimeout         = 150 * time.Millisecond
	idleConnTimeout     = 30 * time.Second
	maxIdleConnsPerPeer = 16
	// MaxBodyBytes bounds the body of one call.
	MaxBodyBytes = 64 << 20
	// maxAnswerBytes bounds the body of one answer, which is several times as long
	// as the largest configuration.
	maxAnswerBytes = 16 << 20
)

// Key authenticates the processes of a deployment to each other.
type Key struct{ hash [sha256.Size]byte }

// NewKey returns the key for a secret.
func NewKey(secret string) Key {
	return Key{hash: sha256.Sum256([]byte(secret))}
}

// Matches reports whether a secret is that of the key. It compares in constant
// time.
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

// RequireKey returns a handler that serves only requests with the key and refuses
// all others.
func RequireKey(key Key, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !key.Matches(Bearer(r)) {
			// Keeps the server from waiting for the rest of the body.
			w.Header().Set("Connection", "close")
			_ = http.NewResponseController(w).SetReadDeadline(time.Now())
			_ = twirp.WriteError(w, twirp.NewError(twirp.Unauthenticated, "wrong or missing key"))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, MaxBodyBytes)
		next.ServeHTTP(w, r)
	})
}

// Client sends requests that carry the shared key.
type Client struct {
	secret string
	http   *http.Client
	// memory is shared by the answers that are being read.
	memory *answers.Memory
	// buffers are the receive buffers of the process, or nil.
	buffers *sockbuf.Buffers
	// onEndless, if set, is called with each answer that exceeds a bound.
	onEndless func(peer string, err error)
}

// OnEndless sets a function that is called with each answer that exceeds a bound, whose
// error is an *answers.Error. It must be called before the first call.
func (c *Client) OnEndless(report func(peer string, err error)) { c.onEndless = report }

// SetBuffers sets the receive buffers of the process. It must be called before the first call.
func (c *Client) SetBuffers(buffers *sockbuf.Buffers) { c.buffers = buffers }

func (c *Client) reportEndless(peer string, err error) {
	if c.onEndless != nil && answers.KindOf(err) != "" {
		c.onEndless(peer, err)
	}
}

// NewClient returns a client that authenticates with the secret.
func NewClient(secret string) *Client {
	c := &Client{secret: secret, memory: answers.NewMemory(answers.MaxMemory)}
	c.http = &http.Client{Transport: &http.Transport{
		DialContext:         c.dial,
		MaxIdleConnsPerHost: maxIdleConnsPerPeer,
		IdleConnTimeout:     idleConnTimeout,

		MaxResponseHeaderBytes: answers.MaxHeadBytes,
		// A compressed answer could be longer than its bytes.
		DisableCompression: true,
	}}
	return c
}

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: c.buffers.ControlPeer}
	return dialer.DialContext(ctx, network, address)
}

// Separate returns a client with the same secret and connections of its own, so that
// closing them affects no other calls.
func (c *Client) Separate() *Client {
	separate := NewClient(c.secret)
	separate.memory, separate.onEndless, separate.buffers = c.memory, c.onEndless, c.buffers
	return separate
}

// CloseIdleConnections makes the next calls use new connections.
func (c *Client) CloseIdleConnections() { c.http.CloseIdleConnections() }

// Do sends a request; it implements twirp's HTTPClient. After a call that missed
// its deadline it closes the idle connections: the fault that silenced one
// connection may have silenced the others, while new connections work.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	req.Header.Set("Authorization", "Bearer "+c.secret)
	response, err := c.http.Do(req)
	err = answers.HeadError(err)
	c.reportEndless(req.URL.Host, err)
	if err == nil {
		report := func(err error) { c.reportEndless(req.URL.Host, err) }
		response.Body = answers.LimitBody(response.Body, maxAnswerBytes, c.memory.Share(), report)
		if progress, ok := req.Context().Value(progressKey{}).(*Progress); ok {
			response.Body = progressBody{response.Body, progress}
		}
	}
	if err != nil && errors.Is(context.Cause(req.Context()), context.DeadlineExceeded) {
		c.http.CloseIdleConnections()
	}
	return response, err
}

// leaderMetaKey is the metadata key of the leader's address in a twirp error.
const leaderMetaKey = "leader"

// NotLeader returns the error of a replica that is not the leader. The
// leader's address may be empty.
func NotLeader(leader string) error {
	return twirp.NewError(twirp.FailedPrecondition, "not the leader").WithMeta(leaderMetaKey, leader)
}

// LeaderOf reports whether an error means that the called replica is not the
// leader. It returns the leader's address, or "" if that replica knew none.
func LeaderOf(err error) (string, bool) {
	var twerr twirp.Error
	if !errors.As(err, &twerr) || twerr.Code() != twirp.FailedPrecondition {
		return "", false
	}
	return twerr.Meta(leaderMetaKey), true
}

// Wrap adds the step and the peer to an error. It returns nil for nil.
func Wrap(step, peer string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%s: peer %s: %w", step, peer, err)
}
