package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"waxwingcart/internal/rpc"
	"waxwingcart/internal/wire"
)

type dump struct {
	Replica struct {
		VM          string   `json:"vm"`
		Incarnation string   `json:"incarnation"`
		Role        string   `json:"role"`
		Term        uint64   `json:"term"`
		Voters      []string `json:"voters"`
		Applied     uint64   `json:"applied_index"`
	} `json:"replica"`
	Entry struct {
		Ready  bool `json:"ready"`
		Config struct {
			Revision     uint64  `json:"revision"`
			UnconfirmedS float64 `json:"unconfirmed_s"`
		} `json:"config"`
	} `json:"entry"`
}

func (c *cluster) dump(name string) (dump, error) {
	var d dump
	req, err := http.NewRequest(http.MethodGet, "http://"+c.vms[name].admin+"/dump", nil)
	if err != nil {
		return d, err
	}
	req.Header.Set("Authorization", "Bearer "+operatorKey)
	client := http.Client{Timeout: 2 * time.Second}
	response, err := client.Do(req)
	if err != nil {
		return d, err
	}
	defer response.Body.Close()
	return d, json.NewDecoder(response.Body).Decode(&d)
}

func (c *cluster) waitVoters(name string, voters int) {
	c.t.Helper()
	c.eventually(fmt.Sprintf("%d voters at %s", voters, name), func() bool {
		d, err := c.dump(name)
		return err == nil && len(d.Replica.Voters) == voters
	})
}

func (c *cluster) waitReady(name string) {
	c.t.Helper()
	c.eventually(name+" ready", func() bool {
		d, err := c.dump(name)
		return err == nil && d.Entry.Ready
	})
}

// leader returns the name of the replica that leads.
func (c *cluster) leader(except string) string {
	c.t.Helper()
	found := ""
	c.eventually("a leader", func() bool {
		for name, v := range c.vms {
			if name[0] != 'r' || v.cmd == nil || name == except {
				continue
			}
			if d, err := c.dump(name); err == nil && d.Replica.Role == "leader" {
				found = name
				return true
			}
		}
		return false
	})
	return found
}

func (c *cluster) operator(name string) wire.Operator {
	return wire.NewOperatorProtobufClient("http://"+c.vms[name].admin, rpc.NewClient(operatorKey))
}

// apply sends the cluster's configuration as a change through a process.
func (c *cluster) apply(ctx context.Context, through, changeID string, base uint64) (*wire.ChangeConfigResponse, error) {
	data, err := json.Marshal(c.fleet)
	if err != nil {
		c.t.Fatal(err)
	}
	return c.operator(through).ApplyConfig(ctx, &wire.ChangeConfigRequest{
		ChangeId: changeID, BaseRevision: base, Author: "test", ConfigJson: data,
	})
}

// mustApply repeats a change until it is answered, as an operator would.
func (c *cluster) mustApply(changeID string, base uint64) *wire.ChangeConfigResponse {
	c.t.Helper()
	var response *wire.ChangeConfigResponse
	c.eventually("change "+changeID, func() bool {
		for name, v := range c.vms {
			if name[0] != 'r' || v.cmd == nil {
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			answer, err := c.apply(ctx, name, changeID, base)
			cancel()
			if err == nil {
				response = answer
				return true
			}
		}
		return false
	})
	if response.Conflict || response.Invalid != "" {
		c.t.Fatalf("change %s: %v", changeID, response)
	}
	return response
}

// reply is what a caller sees.
type reply struct {
	status  int
	outcome string
	body    string
	header  http.Header
}

var errNoAnswer = errors.New("no answer")

// call sends one request to an entry.
func (c *cluster) call(entry, method, path, key, body string) (reply, error) {
	req, err := http.NewRequest(method, "http://"+c.vms[entry].callers+path, bytes.NewBufferString(body))
	if err != nil {
		return reply{}, err
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	client := http.Client{Timeout: patience}
	response, err := client.Do(req)
	if err != nil {
		return reply{}, fmt.Errorf("%w: %w", errNoAnswer, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{}, fmt.Errorf("%w: %w", errNoAnswer, err)
	}
	return reply{
		status:  response.StatusCode,
		outcome: response.Header.Get("Waxwingcart-Outcome"),
		body:    string(data),
		header:  response.Header,
	}, nil
}

// fault sets a fault at a stand-in.
func (c *cluster) fault(server, body string) {
	c.t.Helper()
	response, err := http.Post("http://"+c.servers[server]+"/standin/fault", "application/json", bytes.NewBufferString(body))
	if err != nil {
		c.t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode/100 != 2 {
		c.t.Fatalf("fault %s: %s", body, response.Status)
	}
}

// reclaim lets the platform announce that it takes a VM back.
func (c *cluster) reclaim(vm string, seconds int) {
	c.t.Helper()
	body := fmt.Sprintf(`{"vm": %q, "seconds": %d}`, vm, seconds)
	response, err := http.Post("http://"+c.servers["p1"]+"/standin/reclaim", "application/json", bytes.NewBufferString(body))
	if err != nil {
		c.t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode/100 != 2 {
		c.t.Fatalf("reclaim: %s", response.Status)
	}
}

// standin reads what a stand-in says of itself.
func (c *cluster) standin(server, path string, into any) {
	c.t.Helper()
	response, err := http.Get("http://" + c.servers[server] + "/standin/" + path)
	if err != nil {
		c.t.Fatal(err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		c.t.Fatal(err)
	}
}

// runs returns the runs started at a stand-in by request ID.
func (c *cluster) runs(server string) map[string]int {
	c.t.Helper()
	var result struct {
		Runs map[string]int `json:"runs"`
	}
	c.standin(server, "runs", &result)
	return result.Runs
}

func (c *cluster) totalRuns(server string) int {
	total := 0
	for _, count := range c.runs(server) {
		total += count
	}
	return total
}
