package backend

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"waxwingcart/internal/answers"
)

// Cancel cancels a stream at its engine. It succeeds if the engine does not have
// the stream.
func (c *Client) Cancel(ctx context.Context, address, stream string) error {
	call := Call{Step: "cancel", Address: address, Method: http.MethodDelete, Path: streamPath(stream), Repeatable: true}
	_, err := c.control(ctx, call)
	var callErr *Error
	if errors.As(err, &callErr) && callErr.Status == http.StatusNotFound {
		return nil
	}
	return err
}

// Export pauses a stream and returns its KV cache, which must not exceed limit
// bytes.
func (c *Client) Export(ctx context.Context, address, stream string, limit int64) ([]byte, error) {
	call := Call{Step: "export", Address: address, Method: http.MethodPost, Path: streamPath(stream) + "/export", Repeatable: true}
	return c.exchange(ctx, call, limit)
}

// Import sends an exported KV cache to an engine and returns the ID of the stream
// that Resume can continue there.
func (c *Client) Import(ctx context.Context, address string, cache []byte) (string, error) {
	call := Call{Step: "import", Address: address, Method: http.MethodPost, Path: "/v1/kv/import", Body: cache}
	call.Header = http.Header{"Content-Type": {"application/octet-stream"}}
	var imported struct {
		Stream string `json:"stream"`
	}
	body, err := c.exchange(ctx, call, c.opts.MaxReportBytes)
	if err != nil {
		return "", err
	}
	if err := call.decode(body, &imported); err != nil {
		return "", err
	}
	if imported.Stream == "" {
		return "", call.invalidResponse(errNoStream)
	}
	return imported.Stream, nil
}

// Order sets one value of an engine's desired state.
type Order struct {
	// Fencing is the fencing number of the sender.
	Fencing uint64 `json:"fencing"`
	// Kind is the kind of order, for example "set-model".
	Kind  string `json:"kind"`
	Value string `json:"value"`
}

// OrderState is an engine's record of the orders it has received.
type OrderState struct {
	// Highest is the highest fencing number that the engine has seen.
	Highest uint64 `json:"highest"`
	// Desired holds the last value of each kind.
	Desired map[string]string `json:"desired"`
}

// Order sends an order. If the engine refuses it because of its fencing number,
// the *Error has Status 409 and Highest set.
func (c *Client) Order(ctx context.Context, address string, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return fmt.Errorf("order %s: %w", address, err)
	}
	call := Call{Step: "order", Address: address, Method: http.MethodPost, Path: "/v1/orders", Body: body, Repeatable: true}
	call.Header = http.Header{"Content-Type": {"application/json"}}
	_, err = c.control(ctx, call)
	return err
}

// Orders reads an engine's record of its orders.
func (c *Client) Orders(ctx context.Context, address string) (OrderState, error) {
	var state OrderState
	call := Call{Step: "read orders", Address: address, Method: http.MethodGet, Path: "/v1/orders", Repeatable: true}
	err := c.controlJSON(ctx, call, &state)
	return state, err
}

// The kinds of cache event.
const (
	CacheStored  = "stored"
	CacheEvicted = "evicted"
)

// CacheEvent reports that an engine stored or evicted a cached prefix.
type CacheEvent struct {
	Seq    int64  `json:"seq"`
	Kind   string `json:"kind"`
	Prefix string `json:"prefix"`
}

// CacheEvents returns the events after a sequence number, and the last sequence
// number. A gap in the sequence numbers means that events were lost.
func (c *Client) CacheEvents(ctx context.Context, address string, after int64) ([]CacheEvent, int64, error) {
	path := "/v1/cache/events?after=" + strconv.FormatInt(after, 10)
	call := Call{Step: "read cache events", Address: address, Method: http.MethodGet, Path: path, Repeatable: true}
	var list struct {
		Events []CacheEvent `json:"events"`
		Last   int64        `json:"last"`
	}
	if err := c.controlJSON(ctx, call, &list); err != nil {
		return nil, 0, err
	}
	return list.Events, list.Last, nil
}

// control sends a call with the control timeout and returns the whole body of a
// 2xx response.
func (c *Client) control(ctx context.Context, call Call) ([]byte, error) {
	call.ProgressTimeout = c.opts.ControlTimeout
	return c.exchange(ctx, call, c.opts.MaxReportBytes)
}

// controlJSON sends a call with the control timeout and decodes the JSON response.
func (c *Client) controlJSON(ctx context.Context, call Call, value any) error {
	body, err := c.control(ctx, call)
	if err != nil {
		return err
	}
	return call.decode(body, value)
}

// decode decodes the JSON body of a response.
func (c Call) decode(body []byte, value any) error {
	if err := json.Unmarshal(body, value); err != nil {
		return c.invalidResponse(err)
	}
	return nil
}

// exchange sends a call and returns the whole body of a 2xx response, which must
// not exceed limit bytes.
func (c *Client) exchange(ctx context.Context, call Call, limit int64) ([]byte, error) {
	pending, err := c.send(ctx, call)
	if err != nil {
		return nil, err
	}
	defer pending.Close()
	if pending.response.StatusCode/100 != 2 {
		return nil, pending.responseError()
	}
	if limit > answers.MaxBodyBytes {
		return pending.readLarge(limit)
	}
	return pending.readAll(limit)
}

// readLarge reads a body that may be larger than the memory that answers share, such
// as a KV cache.
func (r *pendingResponse) readLarge(limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(body)) > limit {
		return nil, r.fail(PhaseInvalid, answers.TooLong(answers.KindBody, limit))
	}
	return body, err
}

// responseError returns the error of a response with an error status.
func (r *pendingResponse) responseError() *Error {
	text, _ := io.ReadAll(io.LimitReader(r, r.client.opts.MaxErrorBytes))
	callErr := r.fail(PhaseAnswered, fmt.Errorf("status %d: %.200s", r.response.StatusCode, text))
	if r.response.StatusCode == http.StatusConflict {
		var fenced struct {
			Highest uint64 `json:"highest"`
		}
		if json.Unmarshal(text, &fenced) == nil {
			callErr.Highest = fenced.Highest
		}
	}
	return callErr
}
