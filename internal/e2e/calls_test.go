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

// dump holds the fields of a process's /dump that the tests read.
type dump struct {
	Replica struct {
		VM          string   `json:"vm"`
		Incarnation string   `json:"incarnation"`
		Role        string   `json:"role"`
		Term        uint64   `json:"term"`
		Voters      []string `json:"voters"`
		Learners    []string `json:"learners"`
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
	req, err := http.NewRequest(http.MethodGet, "http://"+c.vms[name].adminAddress+"/dump", nil)
	if err != nil {
		return d, err
	}
	req.Header.Set("Authorization", "Bearer "+c.operatorKey)
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

// leader waits for a running replica other than except that reports itself as
// leader, and returns its name.
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
	return wire.NewOperatorProtobufClient("http://"+c.vms[name].adminAddress, rpc.NewClient(operatorKey))
}

// apply sends the cluster's configuration as a change to a process.
func (c *cluster) apply(ctx context.Context, through, changeID string, base uint64) (*wire.ChangeConfigResponse, error) {
	data, err := json.Marshal(c.fleet)
	if err != nil {
		c.t.Fatal(err)
	}
	return c.operator(through).ApplyConfig(ctx, &wire.ChangeConfigRequest{
		ChangeId: changeID, BaseRevision: base, Author: "test", ConfigJson: data,
	})
}

// mustApply sends a change to the running replicas in turn until one answers, as
// an operator would. It fails the test if the change is not accepted.
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
		c.t.Fatalf("change %s was not accepted: %v", changeID, response)
	}
	return response
}

// reply is the answer that a caller receives.
type reply struct {
	status  int
	outcome string
	body    string
	header  http.Header
}

var errNoAnswer = errors.New("no answer")

// call sends one request to an entry. The error wraps errNoAnswer if the connection
// broke before the answer was complete.
func (c *cluster) call(entry, method, path, key, body string) (reply, error) {
	req, err := http.NewRequest(method, "http://"+c.vms[entry].callerAddress+path, bytes.NewBufferString(body))
	if err != nil {
		return reply{}, err
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	client := http.Client{Timeout: waitTimeout}
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

// fault changes the fault settings of a stand-in.
func (c *cluster) fault(server, body string) {
	c.t.Helper()
	response, err := http.Post("http://"+c.servers[server]+"/standin/fault", "application/json", bytes.NewBufferString(body))
	if err != nil {
		c.t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode/100 != 2 {
		c.t.Fatalf("set fault %s: got %s, want a 2xx status", body, response.Status)
	}
}

// reclaim makes the platform announce that it reclaims a VM in so many seconds.
func (c *cluster) reclaim(vm string, seconds int) {
	c.t.Helper()
	body := fmt.Sprintf(`{"vm": %q, "seconds": %d}`, vm, seconds)
	response, err := http.Post("http://"+c.servers["p1"]+"/standin/reclaim", "application/json", bytes.NewBufferString(body))
	if err != nil {
		c.t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode/100 != 2 {
		c.t.Fatalf("reclaim: got %s, want a 2xx status", response.Status)
	}
}

// getStandin decodes the JSON that a stand-in serves at /standin/PATH.
func (c *cluster) getStandin(server, path string, into any) {
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

// runsByRequest returns the number of runs started at a stand-in for each request
// ID.
func (c *cluster) runsByRequest(server string) map[string]int {
	c.t.Helper()
	var result struct {
		Runs map[string]int `json:"runs"`
	}
	c.getStandin(server, "runs", &result)
	return result.Runs
}

func (c *cluster) totalRuns(server string) int {
	total := 0
	for _, count := range c.runsByRequest(server) {
		total += count
	}
	return total
}
