package settings

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"waxwingcart/internal/core/fleet"
)

// Valid ranges of the numbers in process settings.
var (
	headerBytesRange  = fleet.Range{Min: 1 << 10, Max: 1 << 20, Unit: "bytes"}
	bodyBytesRange    = fleet.Range{Min: 1 << 10, Max: 64 << 20, Unit: "bytes"}
	connectionsRange  = fleet.Range{Min: 1, Max: 1_000_000}
	timeoutRange      = fleet.Range{Min: 10, Max: 600_000, Unit: "ms"}
	lostReplicasRange = fleet.Range{Min: 0, Max: 2}
	memoryRange       = fleet.Range{Min: 0, Max: 1 << 20, Unit: "MB"}
	graceRange        = fleet.Range{Min: 2, Max: 3_600, Unit: "s"}
	dutyLeaseRange    = fleet.Range{Min: 0, Max: 600_000, Unit: "ms"}
	drainRange        = fleet.Range{Min: 0, Max: 86_400, Unit: "s"}
)

// reporter reports a problem with the value at a path.
type reporter func(path, message string)

// mismatch reports a value that differs from what is expected.
func (report reporter) mismatch(path, got, expected string) {
	report(path, fmt.Sprintf("got %s, expected %s", got, expected))
}

// check reports every problem with the settings.
func (p *Process) check(report reporter) {
	report.checkName("name", p.Name)
	report.checkName("zone", p.Zone)
	if p.Region != "" {
		report.checkName("region", p.Region)
	}
	p.checkRoles(report)
	p.checkListen(report)
	p.checkPeers(report)
	p.checkTrust(report)
	p.checkHosted(report)
	if p.Platform != "" {
		report.checkAddress("platform", p.Platform)
	}
	if p.TLS != nil {
		report.checkFile("tls.cert_file", p.TLS.CertFile)
		report.checkFile("tls.key_file", p.TLS.KeyFile)
	}
	levels := []string{"debug", "info", "warn", "error"}
	if !slices.Contains(levels, p.Log.Level) {
		report.mismatch("log.level", quote(p.Log.Level), "one of "+strings.Join(levels, ", "))
	}
	p.checkNumbers(report)
}

func (p *Process) checkRoles(report reporter) {
	if len(p.Roles) == 0 {
		report.mismatch("roles", "nothing", "entry, replica or both")
	}
	for i, role := range p.Roles {
		path := fmt.Sprintf("roles[%d]", i)
		switch {
		case role != RoleEntry && role != RoleReplica:
			report.mismatch(path, quote(string(role)), "entry or replica")
		case slices.Contains(p.Roles[:i], role):
			report.mismatch(path, "a second "+quote(string(role)), "each role once")
		}
	}
	if p.HasRole(RoleReplica) && p.DataDir == "" {
		report.mismatch("data_dir", "nothing", "a folder, as the process has the role replica")
	}
	if p.Bootstrap && !p.HasRole(RoleReplica) {
		report.mismatch("bootstrap", "true", "false, as the process does not have the role replica")
	}
}

func (p *Process) checkListen(report reporter) {
	if p.Listen.Callers != "" || p.HasRole(RoleEntry) {
		report.checkAddress("listen.callers", p.Listen.Callers)
	}
	report.checkAddress("listen.peers", p.Listen.Peers)
	report.checkAddress("listen.admin", p.Listen.Admin)
	if p.Listen.AnnouncePeers != "" {
		report.checkAddress("listen.announce_peers", p.Listen.AnnouncePeers)
	}
	used := map[string]bool{"": true}
	for _, a := range []struct{ path, address string }{
		{"listen.callers", p.Listen.Callers},
		{"listen.peers", p.Listen.Peers},
		{"listen.admin", p.Listen.Admin},
	} {
		if used[a.address] && a.address != "" {
			report.mismatch(a.path, "a second "+quote(a.address), "an address of its own")
		}
		used[a.address] = true
	}
	if a := p.Listen.AnnouncePeers; a != "" && (a == p.Listen.Callers || a == p.Listen.Admin) {
		report.mismatch("listen.announce_peers", quote(a), "an address that leads to listen.peers")
	}
}

func (p *Process) checkPeers(report reporter) {
	switch {
	case len(p.Replicas) == 0 && len(p.Seeds) == 0:
		report.mismatch("replicas", "nothing", "at least one replica, or seeds")
	case len(p.Replicas) > 0 && len(p.Seeds) > 0:
		report.mismatch("seeds", "seeds beside replicas", "one of the two")
	}
	for i, seed := range p.Seeds {
		report.checkAddress(fmt.Sprintf("seeds[%d]", i), seed)
	}
	report.checkPeerList("replicas", p.Replicas)
	report.checkPeerList("entries", p.Entries)
	self := slices.IndexFunc(p.Replicas, func(r Peer) bool { return r.VM == p.Name })
	if p.Bootstrap && self < 0 && len(p.Seeds) == 0 {
		report.mismatch("replicas", "no replica with vm "+quote(p.Name), "the process itself, as bootstrap is true")
	}
	if self >= 0 && p.Replicas[self].Zone != p.Zone {
		report.mismatch(fmt.Sprintf("replicas[%d].zone", self), quote(p.Replicas[self].Zone), "the process's own zone "+quote(p.Zone))
	}
}

func (report reporter) checkPeerList(list string, peers []Peer) {
	vms := make(map[string]bool)
	addresses := make(map[string]bool)
	for i, peer := range peers {
		path := fmt.Sprintf("%s[%d]", list, i)
		report.checkName(path+".vm", peer.VM)
		report.checkName(path+".zone", peer.Zone)
		report.checkAddress(path+".address", peer.Address)
		if vms[peer.VM] {
			report.mismatch(path+".vm", "a second "+quote(peer.VM), "a VM that is listed once")
		}
		if addresses[peer.Address] {
			report.mismatch(path+".address", "a second "+quote(peer.Address), "an address that one VM has")
		}
		vms[peer.VM] = true
		addresses[peer.Address] = true
	}
}

func (p *Process) checkNumbers(report reporter) {
	report.checkNumber("limits.header_bytes", float64(p.Limits.HeaderBytes), headerBytesRange)
	report.checkNumber("limits.body_bytes", float64(p.Limits.BodyBytes), bodyBytesRange)
	report.checkNumber("limits.connections", float64(p.Limits.Connections), connectionsRange)
	report.checkNumber("limits.intake_memory_mb", float64(p.Limits.IntakeMemoryMB), memoryRange)
	report.checkNumber("timeouts.read_header_ms", p.Timeouts.ReadHeaderMS, timeoutRange)
	report.checkNumber("timeouts.read_body_ms", p.Timeouts.ReadBodyMS, timeoutRange)
	report.checkNumber("timeouts.write_ms", p.Timeouts.WriteMS, timeoutRange)
	report.checkNumber("timeouts.idle_ms", p.Timeouts.IdleMS, timeoutRange)
	report.checkNumber("timeouts.peer_call_ms", p.Timeouts.PeerCallMS, timeoutRange)
	report.checkNumber("drain_s", p.DrainS, drainRange)
	report.checkNumber("lost_replicas", float64(p.LostReplicas), lostReplicasRange)
	report.checkNumber("replace_voter_ms", p.ReplaceVoterMS, timeoutRange)
	report.checkNumber("memory_mb", float64(p.MemoryMB), memoryRange)
}

func (p *Process) checkTrust(report reporter) {
	switch p.Trust {
	case TrustKey:
		report.checkFile("peer_key_file", p.PeerKeyFile)
		report.checkFile("operator_key_file", p.OperatorKeyFile)
	case TrustNetwork:
		if p.PeerKeyFile != "" || p.OperatorKeyFile != "" {
			report.mismatch("trust", quote(string(p.Trust)), quote(string(TrustKey))+", as key files are given")
		}
	default:
		report.mismatch("trust", quote(string(p.Trust)), quote(string(TrustKey))+" or "+quote(string(TrustNetwork)))
	}
}

func (p *Process) checkHosted(report reporter) {
	if p.Hosted == nil {
		return
	}
	if p.Platform == "" {
		report.mismatch("platform", "nothing", "the platform's address, as hosted is given")
	}
	if p.HasRole(RoleEntry) {
		report.checkAddress("hosted.ready", p.Hosted.Ready)
	}
	if p.HasRole(RoleReplica) {
		report.checkAddress("hosted.control", p.Hosted.Control)
	}
	report.checkNumber("hosted.grace_s", p.Hosted.GraceS, graceRange)
	report.checkNumber("hosted.usage_window_s", p.Hosted.UsageWindowS, drainRange)
	report.checkNumber("hosted.duty_lease_ms", p.Hosted.DutyLeaseMS, dutyLeaseRange)
}

func (report reporter) checkNumber(path string, n float64, r fleet.Range) {
	if !r.Contains(n) {
		report.mismatch(path, strconv.FormatFloat(n, 'f', -1, 64), r.String())
	}
}

// namePattern is the pattern of valid names. Fleet configurations use the same.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

func (report reporter) checkName(path, name string) {
	if !namePattern.MatchString(name) {
		report.mismatch(path, quote(name), "1 to 63 of a-z, 0-9, '.', '_' and '-', beginning with a letter or digit")
	}
}

func (report reporter) checkFile(path, name string) {
	if name == "" {
		report.mismatch(path, "nothing", "the path of a file")
	}
}

// checkAddress accepts only IP addresses, so that no process depends on name
// resolution.
func (report reporter) checkAddress(path, address string) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 {
		report.mismatch(path, quote(address), `an IP address and port, as "10.0.0.7:8080"`)
	}
}

// quote returns s in quotes, or "nothing" if it is empty.
func quote(s string) string {
	if s == "" {
		return "nothing"
	}
	return strconv.Quote(s)
}
