// Package backend is the client for backend servers and the platform. It opens,
// resumes and moves streams of model engines, sends requests to application
// servers that must not run twice, and parses the load reports of several
// vendors. Each error says how far the call got, so that the caller knows
// whether the request can have run.
package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"os"
	"sync"
	"syscall"
	"time"

	"waxwingcart/internal/answers"
	"waxwingcart/internal/sockbuf"
)

// Options configures a Client. Zero values take the defaults.
type Options struct {
	// DialTimeout bounds the connection setup to a server.
	DialTimeout time.Duration
	// ProgressTimeout is the longest time without progress while the client
	// waits for a response or reads it.
	ProgressTimeout time.Duration
	// ControlTimeout replaces ProgressTimeout for reports, orders, lists and
	// cancellations. A call that times out closes the idle connections to its
	// server, so that regular reports keep dead connections out of the pool.
	ControlTimeout time.Duration
	// MaxIdlePerServer bounds the idle connections to one server.
	MaxIdlePerServer int
	// IdleTimeout is how long a connection may stay idle before it is closed. It
	// is bounded because an idle connection can fail without notice.
	IdleTimeout time.Duration
	// MaxReportBytes bounds the body of a report, order or list.
	MaxReportBytes int64
	// MaxEventBytes bounds one event of a stream.
	MaxEventBytes int
	// MaxErrorBytes bounds the part of an error response's body that is read.
	MaxErrorBytes int64
	// Protocol sets request headers and interprets response headers. Nil means
	// the default protocol.
	Protocol Protocol
	// OnLeaving is called, if set, with each call whose response says that the
	// call's instance takes no new requests, as soon as the header is read. It must
	// not block.
	OnLeaving func(call Call)
	// OnPause is called in the same way with each call whose response has status 503
	// and a Retry-After header.
	OnPause func(call Call, header http.Header)
	// OnLimit is called in the same way with each call whose response names a limit of
	// requests, and with each other call whose instance Limited reports.
	OnLimit func(call Call, limit Limit)
	// OnLoad is called in the same way with each call whose response reports its server's load.
	OnLoad func(call Call, load Load)
	// Limited reports whether an instance is known to limit requests.
	Limited func(instance string) bool
	// Detour connects to servers that this process can't reach, if set.
	Detour Detour
	// OnEndless is called in the same way with each call whose response exceeds a
	// bound; the error is an *answers.Error.
	OnEndless func(call Call, err error)
	// Buffers are the receive buffers of the process. They may be nil.
	Buffers *sockbuf.Buffers
}

// Detour connects to servers by another way than directly. It is told how direct connections
// fare.
type Detour interface {
	// Active reports whether all new connections to a server are made by the detour.
	Active(address string) bool
	// Sent is called with each request that is sent directly, and the function that it returns when
	// the call has its answer or has ended.
	Sent(address string) (ended func(answered bool))
	// Connected is called when a new direct connection was answered, and Failed when none could be
	// made or it was broken off before the first byte of an answer.
	Connected(address string)
	Failed(address string)
	// Dial makes a connection by the detour.
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// The defaults of Options.
const (
	DefaultDialTimeout      = time.Second
	DefaultProgressTimeout  = 5 * time.Second
	DefaultControlTimeout   = time.Second
	DefaultMaxIdlePerServer = 16
	DefaultIdleTimeout      = 10 * time.Second
	DefaultMaxReportBytes   = 1 << 20
	DefaultMaxEventBytes    = 256 << 10
	DefaultMaxErrorBytes    = 4 << 10
)

func (o Options) withDefaults() Options {
	setDefault(&o.DialTimeout, DefaultDialTimeout)
	setDefault(&o.ProgressTimeout, DefaultProgressTimeout)
	setDefault(&o.ControlTimeout, DefaultControlTimeout)
	setDefault(&o.MaxIdlePerServer, DefaultMaxIdlePerServer)
	setDefault(&o.IdleTimeout, DefaultIdleTimeout)
	setDefault(&o.MaxReportBytes, DefaultMaxReportBytes)
	setDefault(&o.MaxEventBytes, DefaultMaxEventBytes)
	setDefault(&o.MaxErrorBytes, DefaultMaxErrorBytes)
	if o.Protocol == nil {
		o.Protocol = defaultProtocol{}
	}
	return o
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// Client calls servers by address. It is safe for concurrent use.
type Client struct {
	opts Options
	// memory is shared by the bodies and events that are being read.
	memory *answers.Memory
	// unpooled serves requests that must not run twice, and those that have failed on
	// a kept connection before, each on a new connection: a transport sends a request again on its own
	// only if a reused connection fails.
	unpooled *http.Transport
	// detoured is like unpooled and connects by the detour.
	detoured *http.Transport

	mu sync.Mutex
	// pooled holds one transport per server, so that the idle connections to a
	// single server can be closed.
	pooled map[string]*http.Transport
}

// New returns a client.
func New(opts Options) *Client {
	c := &Client{opts: opts.withDefaults(), memory: answers.NewMemory(answers.MaxMemory), pooled: make(map[string]*http.Transport)}
	c.unpooled = c.newTransport()
	c.unpooled.DisableKeepAlives = true
	c.detoured = c.newTransport()
	c.detoured.DisableKeepAlives = true
	c.detoured.DialContext = c.dialDetour
	return c
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, transport := range c.pooled {
		transport.CloseIdleConnections()
		delete(c.pooled, address)
	}
	c.unpooled.CloseIdleConnections()
	c.detoured.CloseIdleConnections()
}

// CloseIdle closes the idle connections to a server, for example after a call timed
// out: whatever stalled its connection may have stalled the idle ones too.
func (c *Client) CloseIdle(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if transport := c.pooled[address]; transport != nil {
		transport.CloseIdleConnections()
		delete(c.pooled, address)
	}
}

// CloseAllIdle closes the idle connections to all servers.
func (c *Client) CloseAllIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, transport := range c.pooled {
		transport.CloseIdleConnections()
	}
}

// transportFor returns the transport for a call.
func (c *Client) transportFor(call Call) *http.Transport {
	if c.opts.Detour != nil && c.opts.Detour.Active(call.Address) {
		return c.detoured
	}
	if !call.Repeatable {
		return c.unpooled
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	transport := c.pooled[call.Address]
	if transport == nil {
		transport = c.newTransport()
		c.pooled[call.Address] = transport
	}
	return transport
}

func (c *Client) newTransport() *http.Transport {
	return &http.Transport{
		DialContext:            c.dial,
		MaxIdleConnsPerHost:    c.opts.MaxIdlePerServer,
		IdleConnTimeout:        c.opts.IdleTimeout,
		MaxResponseHeaderBytes: answers.MaxHeadBytes,
		DisableCompression:     true,
	}
}

// resetTime is how soon a connection is reset by what accepts it for a server that has ended.
const resetTime = 30 * time.Millisecond

// Listens reports whether a new connection to a server can be made within the timeout and
// stays open, whether it was accepted, and whether it was accepted or refused at all.
func (c *Client) Listens(ctx context.Context, address string, timeout time.Duration) (listens, accepted, answered bool) {
	dialer := net.Dialer{Timeout: timeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false, false, errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	}
	defer conn.Close()
	_ = conn.SetReadDeadline(time.Now().Add(resetTime))
	_, err = conn.Read(make([]byte, 1))
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded), true, true
}

// dialTimeoutKey is the context key of a call's DialTimeout.
type dialTimeoutKey struct{}

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: c.opts.DialTimeout, Control: c.opts.Buffers.Control}
	if timeout, _ := ctx.Value(dialTimeoutKey{}).(time.Duration); timeout > 0 {
		dialer.Timeout = timeout
	}
	raw, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		if c.opts.Detour != nil && !errors.Is(err, context.Canceled) {
			c.opts.Detour.Failed(address)
		}
		return nil, err
	}
	return &conn{Conn: raw}, nil
}

// dialDetour connects to a server by the detour.
func (c *Client) dialDetour(ctx context.Context, _, address string) (net.Conn, error) {
	raw, err := c.opts.Detour.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, marksEnds: true}, nil
}

// Call is one attempt of a request.
type Call struct {
	// Step names the call in errors, for example "dispatch".
	Step string
	// Address is the server's IP address and port.
	Address string
	Method  string
	// Path is the request path with its query.
	Path   string
	Header http.Header
	Body   []byte
	// Host replaces the address in the Host header, if set.
	Host string
	// Instance identifies the run of the server process that the call is meant
	// for, if the protocol supports it. Any other run must refuse the call.
	Instance string
	// Customer is the customer's name, if the protocol sends it.
	Customer string
	// TimeLeft is how long the caller still waits for the response, if set.
	TimeLeft time.Duration
	// Repeatable is false for a request that must not run twice. Such a request
	// is sent on a new connection.
	Repeatable bool
	// RequestID and Attempt identify the attempt. A response that carries
	// another identifier is rejected. With an empty RequestID no identifier is
	// sent.
	RequestID string
	Attempt   int
	// Priority orders requests at the server; lower is more urgent.
	Priority int
	// DialTimeout and ProgressTimeout override the client's options, if set. The
	// progress timeout bounds the wait for the response header, and then for
	// each event or each read of the body.
	DialTimeout     time.Duration
	ProgressTimeout time.Duration
	// OnSilence, if set, is called whenever the call has made no progress for the
	// progress timeout, and again after each further timeout. The call then stays open.
	// Without it, the call is cancelled and fails with PhaseSilent. It must not block.
	OnSilence func()
	// Account is what the answer's body or event holds of a memory, and goes on holding once a body has been
	// read as a whole. If it is nil, the client's own memory is used, until the body has been read.
	Account answers.Account
}

// Response is a response whose header has been read.
type Response struct {
	Status int
	Header http.Header
	// Body returns an *Error if the response is truncated or makes no progress.
	// It must be closed. A connection whose body was not read to its end is not
	// reused.
	Body io.ReadCloser

	pending *pendingResponse
}

// ReadAll reads the whole body, which must not exceed limit bytes. Its errors are those
// of Body.
func (r *Response) ReadAll(limit int64) ([]byte, error) { return r.pending.readAll(limit) }

// Do sends a request once and returns the response with any status. It returns an
// error if the server refused to run the request.
func (c *Client) Do(ctx context.Context, call Call) (*Response, error) {
	pending, err := c.send(ctx, call)
	if err != nil {
		return nil, err
	}
	return &Response{Status: pending.response.StatusCode, Header: pending.response.Header, Body: pending, pending: pending}, nil
}

// send sends the request and waits for the response header.
func (c *Client) send(ctx context.Context, call Call) (*pendingResponse, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	setDefault(&call.ProgressTimeout, c.opts.ProgressTimeout)
	wd := newWatchdog(cancel, c.silence(call), call.ProgressTimeout)
	sent := time.Now()
	tracker := &writeTracker{request: call.RequestID}
	fail := func(err error) error {
		defer cancel(context.Canceled)
		wd.stop()
		return c.callError(ctx, call, tracker, wd, err)
	}

	request, err := c.newRequest(ctx, call, tracker, wd)
	if err != nil {
		return nil, fail(err)
	}
	transport := c.transportFor(call)
	direct, ended := c.opts.Detour != nil && transport != c.detoured, func(bool) {}
	if direct {
		ended = c.opts.Detour.Sent(call.Address)
	}
	response, err := transport.RoundTrip(request)
	if err != nil && tracker.failedBefore() {
		if request, err = c.newRequest(ctx, call, tracker, wd); err == nil {
			response, err = c.unpooled.RoundTrip(request)
		}
	}
	if direct {
		ended(err == nil)
		c.reportDirect(ctx, call, tracker, err)
	}
	if err != nil {
		return nil, fail(err)
	}
	wd.responded.Store(true)
	wd.stop()
	tracker.partRead()
	pending := &pendingResponse{client: c, call: call, response: response, tracker: tracker, wd: wd, cancel: cancel, account: c.account(call)}
	// A connection is already idle if its response has no body.
	pending.ended.Store(response.Body == http.NoBody)
	if err := pending.check(time.Since(sent)); err != nil {
		pending.Close()
		return nil, err
	}
	return pending, nil
}

// account returns the account of a call's answer.
func (c *Client) account(call Call) answers.Account {
	if call.Account != nil {
		return call.Account
	}
	return c.memory.Share()
}

// reportDirect tells the detour how a new direct connection fared, after its head was read or it
// failed. A failed dial was reported before.
func (c *Client) reportDirect(ctx context.Context, call Call, tracker *writeTracker, err error) {
	switch {
	case !tracker.onNewConnection():
	case err == nil:
		c.opts.Detour.Connected(call.Address)
	case ctx.Err() == nil && (errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF)):
		c.opts.Detour.Failed(call.Address)
	}
}

// silence returns what to do when a call is silent that stays open, or nil.
func (c *Client) silence(call Call) func() {
	if call.OnSilence == nil {
		return nil
	}
	return func() {
		c.CloseIdle(call.Address)
		call.OnSilence()
	}
}

// newRequest builds the HTTP request.
func (c *Client) newRequest(ctx context.Context, call Call, tracker *writeTracker, wd *watchdog) (*http.Request, error) {
	trace := &httptrace.ClientTrace{
		GotConn:        func(info httptrace.GotConnInfo) { tracker.track(info.Conn) },
		Got1xxResponse: countInterim(),
	}
	ctx = httptrace.WithClientTrace(ctx, trace)
	ctx = context.WithValue(ctx, dialTimeoutKey{}, call.DialTimeout)
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.Path, nil)
	if err != nil {
		return nil, err
	}
	// A body of this type, even an empty one, keeps the transport from sending
	// the request again on another connection.
	request.Body = singleUseBody{bytes.NewReader(call.Body), wd}
	request.ContentLength = int64(len(call.Body))
	if call.Host != "" {
		request.Host = call.Host
	}
	for name, values := range call.Header {
		request.Header[name] = values
	}
	c.opts.Protocol.SetHeaders(request.Header, call)
	return request, nil
}

// countInterim returns a function that fails after too many interim responses. Each of
// them has the bound of a head.
func countInterim() func(int, textproto.MIMEHeader) error {
	seen := 0
	return func(int, textproto.MIMEHeader) error {
		if seen++; seen > answers.MaxInterim {
			return &answers.Error{Kind: answers.KindInterim, Detail: fmt.Sprintf("more than %d interim responses", answers.MaxInterim)}
		}
		return nil
	}
}

// callError returns the error of a call that got no response.
func (c *Client) callError(ctx context.Context, call Call, tracker *writeTracker, wd *watchdog, err error) error {
	callErr := &Error{Step: call.Step, Peer: call.Address, Phase: PhaseDial, Err: err}
	size, readable := tracker.partSize()
	headTooLong := readable && size >= answers.MaxHeadBytes && answers.KindOf(err) == "" && ctx.Err() == nil
	if !tracker.abandon() {
		return callErr
	}
	callErr.Phase = PhaseHandedOver
	if headTooLong {
		callErr.Err = answers.TooLong(answers.KindHead, answers.MaxHeadBytes)
	}
	c.reportEndless(call, callErr.Err)
	if wd.fired() {
		callErr.Phase = PhaseSilent
		callErr.Err = errNoProgress
		c.CloseIdle(call.Address)
	}
	return callErr
}

// maxStatus is the highest status of a response.
const maxStatus = 599

var (
	errNoProgress   = errors.New("no progress within the progress timeout")
	errOtherRequest = errors.New("response belongs to another request")
	// errInvalidStatus is the error of a status that no final response has.
	errInvalidStatus = errors.New("invalid status of a final response")
	// errUnaskedEncoding is the error of a body that can't be passed on.
	errUnaskedEncoding = errors.New("response has an encoding that the request did not ask for")
)

// check returns an error if the server refused to run the request or if the
// response belongs to another request. It calls OnLeaving, OnPause, OnLimit and OnLoad. The
// request was sent as long ago as it took.
func (r *pendingResponse) check(took time.Duration) error {
	protocol, header := r.client.opts.Protocol, r.response.Header
	if named, ok := protocol.BelongsTo(r.call, header); !ok {
		return r.fail(PhaseInvalid, fmt.Errorf("%w: %.60q", errOtherRequest, named))
	}
	if status := r.response.StatusCode; status < http.StatusOK || status > maxStatus {
		// The connection is not used again, even if the response has no body.
		r.ended.Store(false)
		return r.fail(PhaseInvalid, fmt.Errorf("%w: %d", errInvalidStatus, status))
	}
	if r.call.RequestID != "" && (r.response.StatusCode >= http.StatusBadRequest || protocol.NotRun(r.response.StatusCode, header)) {
		r.tracker.noteFailed()
	}
	if lines := headerLines(header); lines > answers.MaxHeadLines {
		return r.fail(PhaseInvalid, &answers.Error{Kind: answers.KindHead, Detail: fmt.Sprintf("%d header lines, more than %d", lines, answers.MaxHeadLines)})
	}
	if notify := r.client.opts.OnLeaving; notify != nil && protocol.Leaving(r.response.StatusCode, header) {
		notify(r.call)
	}
	if notify := r.client.opts.OnPause; notify != nil && r.response.StatusCode == http.StatusServiceUnavailable && header.Get("Retry-After") != "" {
		notify(r.call, header)
	}
	if r.client.opts.OnLimit != nil {
		if values, ok := protocol.Limits(r.response.StatusCode, header); ok {
			r.client.noteLimit(r.call, values, protocol.Brittle(header), took)
		}
	}
	if notify := r.client.opts.OnLoad; notify != nil {
		if load, ok := protocol.Load(r.response.StatusCode, header); ok {
			notify(r.call, load)
		}
	}
	if protocol.NotRun(r.response.StatusCode, header) {
		return r.fail(PhaseRefused, r.statusError())
	}
	if encoding := header.Get("Content-Encoding"); encoding != "" && encoding != "identity" && r.call.Header.Get("Accept-Encoding") == "" {
		return r.fail(PhaseInvalid, fmt.Errorf("%w: %.40q", errUnaskedEncoding, encoding))
	}
	return nil
}

// noteLimit calls OnLimit if a response names a limit or is of a brittle server, or if its server
// limits requests and the response names none.
func (c *Client) noteLimit(call Call, values, brittle []string, took time.Duration) {
	limit := Limit{Took: took}
	if len(values) > 0 {
		limit.PerSecond, limit.Err = ParseLimit(values)
	}
	if len(brittle) > 0 {
		if err := parseBrittle(brittle); err == nil {
			limit.Brittle = true
		} else if limit.Err == nil {
			limit.Err = err
		}
	}
	if len(values)+len(brittle) == 0 && !c.opts.Limited(call.Instance) {
		return
	}
	c.opts.OnLimit(call, limit)
}

// reportEndless calls OnEndless if the error is that of a response that exceeds a bound.
func (c *Client) reportEndless(call Call, err error) {
	if c.opts.OnEndless != nil && answers.KindOf(err) != "" {
		c.opts.OnEndless(call, err)
	}
}

func headerLines(header http.Header) int {
	lines := 0
	for _, values := range header {
		lines += len(values)
	}
	return lines
}

// statusError returns an error with the status and the beginning of the body.
func (r *pendingResponse) statusError() error {
	text, _ := io.ReadAll(io.LimitReader(r, r.client.opts.MaxErrorBytes))
	return fmt.Errorf("status %d: %s", r.response.StatusCode, bytes.TrimSpace(text))
}
