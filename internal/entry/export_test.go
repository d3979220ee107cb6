package entry

import (
	"waxwingcart/internal/rpc"
	"waxwingcart/internal/wire"
)

// NewStopped returns an entry that is not started, with the given functions of the platform.
func NewStopped(routed *RoutedOptions) *Entry {
	e := newStartingEntry(rpc.NewClient(""))
	e.opts.Routed = routed
	return e
}

// ApplyConfig applies a response as if a replica had sent it.
func (e *Entry) ApplyConfig(response *wire.FetchConfigResponse) { e.config.apply("leader", response) }

// ConfigNumber returns the number of the document in force.
func (e *Entry) ConfigNumber() uint64 { return e.config.inForce().routes.Number }
