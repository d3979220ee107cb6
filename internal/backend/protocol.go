package backend

import (
	"net/http"
	"strconv"
)

// Protocol defines the HTTP headers and refusals that depend on the kind of
// backend server.
type Protocol interface {
	// SetHeaders sets the request headers that identify the attempt and the
	// customer, and those that carry the priority and limits of the call.
	SetHeaders(header http.Header, call Call)
	// BelongsTo reports whether a response with this header belongs to the call.
	// It also returns the identifier that the header carries.
	BelongsTo(call Call, header http.Header) (named string, ok bool)
	// NotRun reports whether a response says that the request has not run and
	// will not run.
	NotRun(status int, header http.Header) bool
	// Leaving reports whether a response says that the instance that the call is
	// meant for takes no new requests.
	Leaving(status int, header http.Header) bool
	// Limits returns the values with which a response limits the requests of all callers
	// together. It returns false if the response may be of another instance than the one
	// that the call is meant for.
	Limits(status int, header http.Header) (values []string, ok bool)
	// Brittle returns the values with which a response says how many requests its instance may turn
	// away in a second before it falls over.
	Brittle(header http.Header) []string
	// Load returns the load that a response reports. It returns false if it reports none, or
	// may be of another instance than the one that the call is meant for.
	Load(status int, header http.Header) (load Load, ok bool)
}

// defaultProtocol is the protocol of this project's backend servers.
type defaultProtocol struct{}

// The headers of the default protocol.
const (
	headerAttempt    = "X-Request-Id"
	headerPriority   = "X-Priority"
	headerNotStarted = "X-Not-Started"
)

// attemptID returns the identifier of an attempt, or an empty string if the call
// has no request ID.
func attemptID(call Call) string {
	if call.RequestID == "" {
		return ""
	}
	return call.RequestID + "/" + strconv.Itoa(call.Attempt)
}

// SetHeaders implements Protocol.
func (defaultProtocol) SetHeaders(header http.Header, call Call) {
	if id := attemptID(call); id != "" {
		header.Set(headerAttempt, id)
	}
	if call.Priority != 0 {
		header.Set(headerPriority, strconv.Itoa(call.Priority))
	}
}

// BelongsTo implements Protocol. A response without an identifier belongs to the
// call.
func (defaultProtocol) BelongsTo(call Call, header http.Header) (string, bool) {
	id := header.Get(headerAttempt)
	return id, id == "" || call.RequestID == "" || id == attemptID(call)
}

// NotRun implements Protocol.
func (defaultProtocol) NotRun(status int, header http.Header) bool {
	refusal := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
	return refusal && header.Get(headerNotStarted) == "1"
}

// Leaving implements Protocol. Servers of this protocol say it in their load reports.
func (defaultProtocol) Leaving(int, http.Header) bool { return false }

// Brittle implements Protocol. Servers of this protocol don't say so.
func (defaultProtocol) Brittle(http.Header) []string { return nil }

// Limits implements Protocol. Servers of this protocol name no limits.
func (defaultProtocol) Limits(int, http.Header) ([]string, bool) { return nil, false }

// Load implements Protocol. Responses of these servers report none.
func (defaultProtocol) Load(int, http.Header) (Load, bool) { return Load{}, false }
