package entry

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"waxwingcart/internal/chat"
	"waxwingcart/internal/core/eventid"
	"waxwingcart/internal/core/fleet"
	"waxwingcart/internal/core/request"
	"waxwingcart/internal/core/routing"
	"waxwingcart/internal/intake"
	"waxwingcart/internal/rpc"
	"waxwingcart/internal/traces"
)

// Headers that callers may send.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerLastEventID    = "Last-Event-ID"
	headerDeadline       = "Waxwingcart-Deadline-Ms"
)

// maxKeyBytes bounds an idempotency key.
const maxKeyBytes = 255

// Routes adds the handlers for callers to a router.
func (e *Entry) Routes(router *mux.Router) {
	router.HandleFunc("/healthz", e.serveHealth).Methods(http.MethodGet)
	router.HandleFunc("/readyz", e.ServeReady).Methods(http.MethodGet)
	router.HandleFunc(chatPath, e.serveModel).Methods(http.MethodPost)
	router.HandleFunc("/v1/completions", e.serveModel).Methods(http.MethodPost)
	router.PathPrefix("/services/{service}/").HandlerFunc(e.serveApp)
}

func (e *Entry) serveHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "ok\n")
}

// ServeReady tells the load balancer whether to send callers here.
func (e *Entry) ServeReady(w http.ResponseWriter, _ *http.Request) {
	if e.Ready() {
		_, _ = io.WriteString(w, "ready\n")
		return
	}
	w.Header().Set(headerRetryAfter, "1")
	http.Error(w, "not ready", http.StatusServiceUnavailable)
}

// callError is the reason for refusing a request before it has a run.
type callError struct {
	reason  request.Reason
	message string
	// retryAfter is when the request may be sent again, or zero for the default.
	retryAfter time.Duration
}

func (c *callError) Error() string { return string(c.reason) + ": " + c.message }

func refusal(reason request.Reason, format string, args ...any) error {
	return &callError{reason: reason, message: fmt.Sprintf(format, args...)}
}

// refuseCall answers a request that has no run, and records the refusal.
// Nothing was sent to a backend server.
func (e *Entry) refuseCall(w http.ResponseWriter, requestID string, err error) {
	outcome := request.Outcome{Kind: request.OutcomeNotRun, Reason: reasonBadRequest, Step: err.Error(), RetryAfter: request.DefaultRetryAfter}
	var call *callError
	if errors.As(err, &call) {
		outcome.Reason, outcome.Step = call.reason, call.message
		if call.retryAfter > 0 {
			outcome.RetryAfter = call.retryAfter
		}
	}
	if outcome.Reason == request.ReasonDraining {
		// Another entry can take the request at once.
		outcome.RetryAfter = 0
		w.Header().Set("Connection", "close")
	}
	e.metrics.outcomes.WithLabelValues("", outcomeNotRun, string(outcome.Reason)).Inc()
	refused := &traces.Trace{ID: requestID, Arrived: time.Now(), Refused: true}
	refused.End(refused.Arrived, "refused before it was admitted: %s: %s", outcome.Reason, outcome.Step)
	e.history.Put(refused)
	writeRefusal(w, requestID, outcome, nil)
}

// checkedRequest is a request that passed the checks of the HTTP layer.
type checkedRequest struct {
	config   *configuration
	customer *fleet.Customer
	body     []byte
	// share is closed when the request has ended.
	share *intake.Share
}

// prepare authenticates the caller and reads the body within its limits. If it
// fails, the connection is closed after the answer, and the rest of the body
// is read for no longer than the body's time limit.
func (e *Entry) prepare(w http.ResponseWriter, req *http.Request, kind fleet.ServiceKind) (checkedRequest, error) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(e.opts.BodyTimeout))
	call, err := e.authenticate(req)
	if err == nil {
		call.share = e.openShare(w, req, call.customer.Name)
		call.body, err = e.readBody(w, req, e.readLimit(call.config, call.customer, kind), call.share)
	}
	if err != nil {
		call.share.Close()
		w.Header().Set("Connection", "close")
		return checkedRequest{}, err
	}
	_ = controller.SetReadDeadline(time.Time{})
	return call, nil
}

func (e *Entry) authenticate(req *http.Request) (checkedRequest, error) {
	config := e.config.inForce()
	if config == nil {
		return checkedRequest{}, refusal(reasonNotReady, "no configuration is in force yet")
	}
	customer := config.customerOf(rpc.Bearer(req))
	if customer == nil {
		return checkedRequest{}, refusal(reasonUnauthorized, "the bearer key belongs to no customer")
	}
	return checkedRequest{config: config, customer: customer}, nil
}

// serveModel serves a chat or completion request.
func (e *Entry) serveModel(w http.ResponseWriter, req *http.Request) {
	id := e.newRequestID()
	call, err := e.prepare(w, req, fleet.ServiceModel)
	if err != nil {
		e.refuseCall(w, id, err)
		return
	}
	defer call.share.Close()
	parsed, err := chat.Parse(call.body)
	if err != nil {
		e.refuseCall(w, id, err)
		return
	}
	service, ok := call.config.models[parsed.Model]
	if !ok {
		e.refuseCall(w, id, refusal(reasonNoService, "no service has the model %q", parsed.Model))
		return
	}
	r, err := e.newRun(id, req, call, service)
	if err != nil {
		e.refuseCall(w, id, err)
		return
	}
	r.spec.Kind = request.KindModel
	r.spec.Repeatable = true
	r.size = routing.RequestSize{PromptTokens: parsed.PromptTokens, OutputTokens: parsed.OutputTokens, Prefix: parsed.Prefix}
	r.message = message{method: http.MethodPost, path: req.URL.Path, header: forwardHeader(req), body: parsed.Forward}
	codec := eventid.NewCodec(e.eventKey(), eventid.Binding{Customer: call.customer.Name, Digest: digest(req, call.body)})
	if err := r.readPosition(req, codec); err != nil {
		e.refuseCall(w, id, err)
		return
	}
	r.sink = e.modelSink(w, r, parsed, codec)
	e.serve(w, r)
}

// readPosition reads the position of a resumed stream from Last-Event-ID.
func (r *run) readPosition(req *http.Request, codec *eventid.Codec) error {
	text := req.Header.Get(headerLastEventID)
	if text == "" {
		return nil
	}
	id, err := codec.Decode(text)
	if err != nil {
		return refusal(reasonBadEventID, "%v", err)
	}
	if id.Service != r.service.Name {
		return refusal(reasonBadEventID, "the stream belongs to service %q", id.Service)
	}
	r.spec.Resume = &request.Position{Server: id.Server, Stream: id.Stream, Next: int(id.Offset) + 1, Sum: id.Sum}
	return nil
}

func (e *Entry) modelSink(w http.ResponseWriter, r *run, parsed chat.Request, codec *eventid.Codec) sink {
	if !parsed.Stream {
		return &completionSink{w: w, share: r.share, requestID: r.id, writeTimeout: e.opts.WriteTimeout, chat: r.message.path == chatPath, promptTokens: parsed.PromptTokens}
	}
	return &streamSink{
		w:            w,
		share:        r.share,
		requestID:    r.id,
		service:      r.service.Name,
		incarnations: e.serverIncarnation,
		codec:        codec,
		writeTimeout: e.opts.WriteTimeout,
	}
}

// serveApp forwards a request to an application service.
func (e *Entry) serveApp(w http.ResponseWriter, req *http.Request) {
	id := e.newRequestID()
	call, err := e.prepare(w, req, fleet.ServiceApp)
	if err != nil {
		e.refuseCall(w, id, err)
		return
	}
	defer call.share.Close()
	name := mux.Vars(req)["service"]
	service, ok := call.config.services[name]
	if !ok || service.Kind != fleet.ServiceApp {
		e.refuseCall(w, id, refusal(reasonNoService, "no application service is named %q", name))
		return
	}
	key := req.Header.Get(headerIdempotencyKey)
	if len(key) > maxKeyBytes {
		e.refuseCall(w, id, refusal(reasonBadRequest, "%s: got %d bytes, expected at most %d", headerIdempotencyKey, len(key), maxKeyBytes))
		return
	}
	r, err := e.newRun(id, req, call, service)
	if err != nil {
		e.refuseCall(w, id, err)
		return
	}
	r.spec.Kind = request.KindApp
	path := servicePath(req.URL)
	r.spec.Repeatable = repeatable(service, req.Method, path)
	r.spec.Keyed = key != "" && !r.spec.Repeatable
	r.size = routing.RequestSize{PromptTokens: 1, OutputTokens: 1}
	r.message = message{method: req.Method, path: path, header: forwardHeader(req), body: call.body}
	r.sink = &appSink{w: w, share: r.share, requestID: id, writeTimeout: e.opts.WriteTimeout}
	if r.spec.Keyed {
		r.reservation = newReservation(r, key, digest(req, call.body))
	}
	e.serve(w, r)
}

// servicePath returns the path and query to send to the service: what follows
// /services/{service}, as the caller escaped it.
func servicePath(u *url.URL) string {
	const partsBefore = 3
	parts := strings.SplitN(u.EscapedPath(), "/", partsBefore+1)
	path := "/" + parts[len(parts)-1]
	if u.RawQuery != "" {
		path += "?" + u.RawQuery
	}
	return path
}

// repeatable reports whether the request may safely run twice.
func repeatable(service *fleet.Service, method, path string) bool {
	if method == http.MethodGet || method == http.MethodHead {
		return true
	}
	for _, rule := range service.Repeatable {
		ruleMethod, prefix, found := strings.Cut(rule, " ")
		if found && ruleMethod == method && strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}

// forwardHeader copies the headers to send to a backend server. The caller's
// key is not forwarded.
func forwardHeader(req *http.Request) http.Header {
	header := make(http.Header, len(req.Header))
	for name, values := range req.Header {
		if hopByHop[name] || name == "Authorization" || name == "Accept-Encoding" || name == http.CanonicalHeaderKey(headerLastEventID) {
			continue
		}
		header[name] = values
	}
	return header
}

// digest returns the SHA-256 of method, path and body.
func digest(req *http.Request, body []byte) [sha256.Size]byte {
	hash := sha256.New()
	fmt.Fprintf(hash, "%s\n%s\n", req.Method, req.URL.RequestURI())
	hash.Write(body)
	var sum [sha256.Size]byte
	hash.Sum(sum[:0])
	return sum
}

// eventKey returns the key that authenticates event IDs. It is the same at
// every entry.
func (e *Entry) eventKey() []byte {
	key := sha256.Sum256([]byte("event-id\n" + e.opts.PeerSecret))
	return key[:]
}

func (e *Entry) newRun(id string, req *http.Request, call checkedRequest, service *fleet.Service) (*run, error) {
	now := e.now()
	policy := call.config.PolicyFor(service.Name, call.customer.Name, e.opts.Zone)
	if err := e.checkBody(call.body, &policy); err != nil {
		return nil, err
	}
	allowed, err := deadlineOf(req, policy)
	if err != nil {
		return nil, err
	}
	r := &run{
		entry:        e,
		share:        call.share,
		id:           id,
		customer:     call.customer,
		service:      service,
		policy:       policy,
		config:       call.config,
		arrived:      now,
		deadline:     now + allowed,
		firstTokenBy: now + milliseconds(policy.FirstTokenTargetMS),
		controls:     make(chan control, controlQueue),
		stream:       make(chan streamEvent, streamQueue),
		callerCtx:    req.Context(),
		ended:        make(chan struct{}),
		trace:        &traces.Trace{ID: id, Customer: call.customer.Name, Service: service.Name, Arrived: time.Now()},
	}
	r.spec.ID = id
	r.spec.Deadline = r.deadline
	r.spec.MaxAttempts = policy.MaxAttempts
	return r, nil
}

// deadlineOf returns the time that the request may take: the policy's limit,
// or the caller's if it is shorter.
func deadlineOf(req *http.Request, policy fleet.Policy) (time.Duration, error) {
	text := req.Header.Get(headerDeadline)
	if text == "" {
		return milliseconds(policy.DeadlineMS), nil
	}
	asked, err := strconv.ParseFloat(text, 64)
	if err != nil || !(asked > 0) {
		return 0, refusal(reasonBadRequest, "%s: got %.40q, expected a positive number of milliseconds", headerDeadline, text)
	}
	return milliseconds(min(asked, policy.DeadlineMS)), nil
}

// serve registers the request and runs it until it has an outcome.
func (e *Entry) serve(w http.ResponseWriter, r *run) {
	r.req = request.New(r.spec, r)
	if !e.add(r) {
		reason := request.ReasonAdmission
		if e.draining.Load() {
			reason = request.ReasonDraining
		}
		e.refuseCall(w, r.id, refusal(reason, "the entry takes no more requests"))
		return
	}
	r.serve()
}
