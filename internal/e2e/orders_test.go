package e2e

import (
	"encoding/json"
	"net/http"
	"syscall"
	"testing"
	"time"

	"waxwingcart/internal/core/fleet"
)

// orderState is the order state of a stand-in engine: the highest fencing number
// and the last desired value of each kind of order.
type orderState struct {
	Highest uint64            `json:"highest"`
	Desired map[string]string `json:"desired"`
}

func (c *cluster) orders(server string) (orderState, error) {
	var state orderState
	client := http.Client{Timeout: 2 * time.Second}
	response, err := client.Get("http://" + c.servers[server] + "/v1/orders")
	if err != nil {
		return state, err
	}
	defer response.Body.Close()
	return state, json.NewDecoder(response.Body).Decode(&state)
}

func (c *cluster) waitModel(server, model string) orderState {
	c.t.Helper()
	var state orderState
	c.eventually("model "+model+" at "+server, func() bool {
		var err error
		state, err = c.orders(server)
		return err == nil && state.Desired["set-model"] == model
	})
	return state
}

// A leader that was frozen and resumed sends no orders after its lease expired: once
// the next leader has ordered another model, no server returns to the first one,
// whether or not it checks fencing numbers.
func TestResumedLeaderSendsNoOrders(t *testing.T) {
	for _, fencing := range []fleet.Fencing{fleet.FencingChecked, fleet.FencingIgnored} {
		t.Run(string(fencing), func(t *testing.T) {
			c := newCluster(t, 3, 1)
			for i := range c.fleet.BackendServers {
				c.fleet.BackendServers[i].Fencing = fencing
			}
			c.mustApply("fencing", 1)
			first := c.waitModel("m1", "briefing-70b")
			old := c.leader("")
			c.signal(old, syscall.SIGSTOP)
			c.leader(old)
			c.fleet.Services[0].Model = "briefing-72b"
			c.mustApplyExcept(old, "other-model", 2)
			second := c.waitModel("m1", "briefing-72b")
			if second.Highest <= first.Highest {
				t.Fatalf("got fencing number %d after %d, want a higher one", second.Highest, first.Highest)
			}
			c.signal(old, syscall.SIGCONT)
			c.eventually("the resumed leader is a follower", func() bool {
				d, err := c.dump(old)
				return err == nil && d.Replica.Role == "follower" && d.Replica.Term >= second.Highest
			})
			state, err := c.orders("m1")
			if err != nil || state.Desired["set-model"] != "briefing-72b" || state.Highest != second.Highest {
				t.Fatalf("after resuming: got %+v, %v, want the model briefing-72b and the second leader's fencing number", state, err)
			}
		})
	}
}
