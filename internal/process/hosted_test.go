package process

import (
	"testing"

	"waxwingcart/internal/replica"
	"waxwingcart/internal/settings"
)

// TestAnnouncedPeers checks that a replica finds itself among the seeds by the
// address that it announces, and the others on the port that it announces.
func TestAnnouncedPeers(t *testing.T) {
	process := settings.DefaultProcess()
	process.Bootstrap = true
	process.Seeds = []string{"10.1.0.2:8229", "10.1.0.1:8229"}
	process.Listen = settings.Listen{Peers: "10.0.0.1:7600", AnnouncePeers: "10.1.0.1:7700"}
	if !mayBootstrap(&process) {
		t.Error("the first seed by its announced address may not create the log")
	}
	peers := replicaPeers(&process)
	if want := (replica.Peer{Address: "10.1.0.2:7700"}); len(peers) != 1 || peers[0] != want {
		t.Errorf("got peers %v, want only %v", peers, want)
	}
	process.Listen.AnnouncePeers = ""
	if mayBootstrap(&process) {
		t.Error("a replica whose address is no seed may create the log")
	}
	if got := process.Listen.PeerAddress(); got != "10.0.0.1:7600" {
		t.Errorf("got address %s without an announced one, want the listener's", got)
	}
}
