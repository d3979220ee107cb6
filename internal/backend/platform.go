package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// The states of a VM in the platform's list.
const (
	VMLive    = "live"
	VMLeaving = "leaving"
)

// VM is one VM in the platform's list.
type VM struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Class       string `json:"class"`
	Address     string `json:"address"`
	State       string `json:"state"`
	Incarnation string `json:"incarnation"`
}

// VMList is the platform's list of VMs. Age is how old the list was when it was
// sent.
type VMList struct {
	VMs []VM
	Age time.Duration
}

// Notice announces that the platform will reclaim a VM.
type Notice struct {
	Seq int64
	VM  string
	// TimeLeft is the time until the VM is reclaimed.
	TimeLeft time.Duration
}

// ListVMs reads the platform's list of VMs.
func (c *Client) ListVMs(ctx context.Context, platform string) (VMList, error) {
	var list struct {
		VMs   []VM    `json:"vms"`
		AgeMS float64 `json:"age_ms"`
	}
	call := Call{Step: "list VMs", Address: platform, Method: http.MethodGet, Path: "/vms", Repeatable: true}
	if err := c.controlJSON(ctx, call, &list); err != nil {
		return VMList{}, err
	}
	age := toDuration(list.AgeMS, time.Millisecond)
	if age < 0 {
		return VMList{}, call.invalidResponse(fmt.Errorf("age_ms %g: out of range", list.AgeMS))
	}
	for _, vm := range list.VMs {
		if vm.Name == "" || vm.State != VMLive && vm.State != VMLeaving {
			return VMList{}, call.invalidResponse(fmt.Errorf("VM %.40q: state %.40q", vm.Name, vm.State))
		}
	}
	return VMList{VMs: list.VMs, Age: age}, nil
}

// Notices returns the notices after a sequence number, and the last sequence
// number.
func (c *Client) Notices(ctx context.Context, platform string, after int64) ([]Notice, int64, error) {
	var list struct {
		Notices []struct {
			Seq         int64   `json:"seq"`
			VM          string  `json:"vm"`
			SecondsLeft float64 `json:"seconds_left"`
		} `json:"notices"`
		Last int64 `json:"last"`
	}
	path := "/notices?after=" + strconv.FormatInt(after, 10)
	call := Call{Step: "read notices", Address: platform, Method: http.MethodGet, Path: path, Repeatable: true}
	if err := c.controlJSON(ctx, call, &list); err != nil {
		return nil, 0, err
	}
	notices := make([]Notice, 0, len(list.Notices))
	for _, n := range list.Notices {
		timeLeft := toDuration(n.SecondsLeft, time.Second)
		if n.VM == "" || timeLeft < 0 {
			return nil, 0, call.invalidResponse(fmt.Errorf("notice %d: VM %.40q, %g s left", n.Seq, n.VM, n.SecondsLeft))
		}
		notices = append(notices, Notice{n.Seq, n.VM, timeLeft})
	}
	return notices, list.Last, nil
}

// Rent rents a VM. An *Error with Status 503 means that the platform has no VM of
// the class in the zone. After any other error a VM may have been rented.
func (c *Client) Rent(ctx context.Context, platform, zone, class string) (VM, error) {
	var vm VM
	body, err := json.Marshal(map[string]string{"zone": zone, "class": class})
	if err != nil {
		return vm, fmt.Errorf("rent VM %s: %w", platform, err)
	}
	call := Call{Step: "rent VM", Address: platform, Method: http.MethodPost, Path: "/vms", Body: body}
	call.Header = http.Header{"Content-Type": {"application/json"}}
	if err := c.controlJSON(ctx, call, &vm); err != nil {
		return vm, err
	}
	if vm.Name == "" {
		return vm, call.invalidResponse(fmt.Errorf("rented VM has no name"))
	}
	return vm, nil
}

// ReturnVM returns a rented VM to the platform.
func (c *Client) ReturnVM(ctx context.Context, platform, name string) error {
	call := Call{Step: "give VM back", Address: platform, Method: http.MethodDelete, Path: "/vms/" + url.PathEscape(name), Repeatable: true}
	_, err := c.control(ctx, call)
	return err
}

// Prices reads the prices per VM hour. The keys have the form class/zone, for
// example "spot/kochi-a".
func (c *Client) Prices(ctx context.Context, platform string) (map[string]float64, error) {
	var list struct {
		Prices map[string]float64 `json:"prices_per_hour"`
	}
	call := Call{Step: "read prices", Address: platform, Method: http.MethodGet, Path: "/prices", Repeatable: true}
	err := c.controlJSON(ctx, call, &list)
	return list.Prices, err
}

// invalidResponse returns the error of a response that violates the protocol.
func (c Call) invalidResponse(err error) *Error {
	return &Error{Step: c.Step, Peer: c.Address, Phase: PhaseInvalid, Err: err}
}
