package crashguard

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"waxwingcart/internal/core/quarantine"
)

// maxLoggedParts and maxLoggedID bound the parts of a prompt in a log line, in parts and in
// bytes of a part's ID.
const (
	maxLoggedParts = 8
	maxLoggedID    = 24
)

// Call describes a call to a backend server.
type Call struct {
	// ID is the ID of the caller's attempt.
	ID string
	// Service and Model are what the call is for.
	Service, Model string
	// Customer is the customer's name, or empty on a public route.
	Customer string
	// Parts are the IDs of the prompt's parts in order. The last one is the call's own.
	Parts []string
	// Method, Host, Target and Body are those of the HTTP request. Target is the path with the
	// query.
	Method, Host, Target string
	Body                 []byte
}

// Request is a call as the quarantine sees it.
type Request struct {
	// ID is the ID of the caller's attempt.
	ID string
	// request holds the parts, the IDs of the shared ones are names, and hash is that of the ID.
	request quarantine.Request
	names   []string
	hash    uint64
}

// NewRequest returns the Request of a call. Of many shared parts it keeps the first and the
// last.
func NewRequest(call Call) Request {
	r := Request{
		ID: call.ID, hash: xxhash.Sum64String(call.ID),
		request: quarantine.Request{Service: call.Service, Model: call.Model, Customer: xxhash.Sum64String(call.Customer)},
	}
	if last := len(call.Parts) - 1; last >= 0 {
		r.names = call.Parts[:last]
		r.request.Own = append(r.request.Own, quarantine.NewPart(call.Service, call.Parts[last]))
	}
	r.request.Own = append(r.request.Own, quarantine.NewWhole(call.Customer, call.Method, call.Host, call.Target, call.Body))
	if len(r.names) > quarantine.MaxParts {
		r.names = slices.Concat(r.names[:quarantine.MaxParts/2], r.names[len(r.names)-quarantine.MaxParts/2:])
	}
	for _, name := range r.names {
		r.request.Parts = append(r.request.Parts, quarantine.NewPart(call.Service, name))
	}
	return r
}

// logged returns the first parts, each with its ID and the key that bars are logged under.
func (p *Request) logged() string {
	var list []string
	for i, name := range p.names[:min(len(p.names), maxLoggedParts)] {
		list = append(list, name[:min(len(name), maxLoggedID)]+"/"+key(p.request.Parts[i]))
	}
	return strings.Join(list, ",")
}

// whole returns the part that stands for the whole request.
func (p *Request) whole() quarantine.Part { return p.request.Own[len(p.request.Own)-1] }

func (p *Request) release(version string) quarantine.Release {
	return quarantine.Release{Service: p.request.Service, Version: version, Model: p.request.Model}
}

func key(part quarantine.Part) string { return strconv.FormatUint(uint64(part), 16) }
