package entry

import (
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"waxwingcart/internal/core/fleet"
	"waxwingcart/internal/intake"
)

// memoryRetryAfter is the Retry-After delay, before jitter, while the memory for callers
// is used up. Stalled bodies give way after a second.
const memoryRetryAfter = time.Second

// openShare returns the share of a request of a customer, or of an address if the
// customer is unknown, in the memory for callers.
func (e *Entry) openShare(w http.ResponseWriter, req *http.Request, customer string) *intake.Share {
	group := customer
	if group == "" {
		host, _, _ := net.SplitHostPort(req.RemoteAddr)
		// The space keeps addresses apart from names.
		group = "address " + host
	}
	return e.opts.Intake.Open(group, w, req)
}

// readBody reads a caller's body within a limit in bytes, into memory of the share, whose request may run then.
func (e *Entry) readBody(w http.ResponseWriter, req *http.Request, limit int64, share *intake.Share) ([]byte, error) {
	body, err := share.ReadAll(http.MaxBytesReader(w, req.Body, limit), req.ContentLength, limit)
	if err == nil {
		err = share.Begin()
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge) || errors.Is(err, intake.ErrTooLong):
		return nil, tooLargeError(limit)
	case errors.Is(err, intake.ErrStalled):
		return nil, refusal(reasonSlowBody, "%v", err)
	case errors.Is(err, intake.ErrFull):
		return nil, &callError{reason: reasonMemory, message: err.Error(), retryAfter: addJitter(memoryRetryAfter)}
	case errors.Is(err, intake.ErrBusy):
		return nil, &callError{reason: reasonBusy, message: err.Error(), retryAfter: addJitter(memoryRetryAfter)}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, refusal(reasonSlowBody, "body took longer than %s", e.opts.BodyTimeout)
	default:
		return nil, refusal(reasonBadRequest, "body could not be read: %v", err)
	}
}

func tooLargeError(limit int64) error {
	return refusal(reasonTooLarge, "body is over %d bytes", limit)
}

// bodyLimit returns the body limit for a service's requests. The process's own
// limit applies even if the policy allows more.
func (e *Entry) bodyLimit(policy *fleet.Policy) int64 {
	if e.opts.BodyLimit > 0 {
		return min(policy.BodyLimitBytes, e.opts.BodyLimit)
	}
	return policy.BodyLimitBytes
}

// readLimit returns the body limit for a request whose service may be named in
// the body: the largest limit that a service of the kind has for the customer.
func (e *Entry) readLimit(config *configuration, customer *fleet.Customer, kind fleet.ServiceKind) int64 {
	limit := int64(0)
	for i := range config.Services {
		service := &config.Services[i]
		if service.Kind != kind {
			continue
		}
		policy := config.PolicyFor(service.Name, customer.Name, e.opts.Zone)
		limit = max(limit, e.bodyLimit(&policy))
	}
	return limit
}

// checkBody checks a body against its own service's limit.
func (e *Entry) checkBody(body []byte, policy *fleet.Policy) error {
	if limit := e.bodyLimit(policy); int64(len(body)) > limit {
		return tooLargeError(limit)
	}
	return nil
}
