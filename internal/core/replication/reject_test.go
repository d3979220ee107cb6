package replication

import "testing"

// A leader that can't commit says why it refuses a command.
func TestReasonOfRefusedCommand(t *testing.T) {
	for _, c := range []struct {
		name   string
		fault  func(*network, *host)
		reason RejectReason
	}{
		{"voters are missing", func(_ *network, leader *host) { leader.node.opts.MinVoters = 5 }, RejectFewVoters},
		{"the voters are silent", func(net *network, leader *host) {
			net.isolate(leader, true, true)
			net.run(net.opts.LeaseDuration + 4*timeStep)
		}, RejectNoQuorum},
		{"a voter's VM returned without its disk", func(net *network, leader *host) {
			leader.node.opts.LostDisks = 1
			returned := leader.node.log.membership().Voters[1].ID.VM
			if returned == leader.self.ID.VM {
				returned = leader.node.log.membership().Voters[0].ID.VM
			}
			net.wipe(net.host(returned))
			net.run(net.opts.ElectionTimeout + 4*timeStep)
			net.step(leader, Join{Member: net.host(returned).self})
		}, RejectFewVoters},
		{"too much is pending", func(_ *network, leader *host) {
			leader.node.leaderState.pendingBytes = leader.node.opts.MaxPendingBytes + 1
		}, RejectBusy},
	} {
		net, leader, _ := newSettledNetwork(t, 1, 3)
		c.fault(net, leader)
		effects := leader.node.Step(leader.clock(net.now), Propose{Token: 1 << 40, Durable: true})
		if len(effects.Rejected) != 1 || effects.Rejected[0].Reason != c.reason || len(effects.Appended) > 0 {
			t.Errorf("%s: got rejections %+v and entries %+v, want one rejection with reason %d", c.name, effects.Rejected, effects.Appended, c.reason)
		}
	}
}
