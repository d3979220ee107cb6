package settings

import (
	"fmt"
	"os"
)

// Process holds the settings of one process.
type Process struct {
	// Name is the VM's name in the platform's list.
	Name string `json:"name"`
	// Zone is the availability zone that the VM is in.
	Zone string `json:"zone"`
	// Region groups zones; it may be empty.
	Region string `json:"region,omitempty"`
	// Roles lists what the process runs.
	Roles  []Role `json:"roles"`
	Listen Listen `json:"listen"`
	// DataDir is the directory for all files that the process writes. It is
	// required for a replica.
	DataDir string `json:"data_dir,omitempty"`
	// Replicas lists the replicas' peer addresses.
	Replicas []Peer `json:"replicas,omitempty"`
	// Entries lists the peer addresses of other entries.
	Entries []Peer `json:"entries,omitempty"`
	// Bootstrap lets a replica with an empty disk create the deployment's log,
	// which the other replicas join. It is set on exactly one replica, and only
	// until the deployment runs: a VM that restarts without its disk would create
	// a second log.
	Bootstrap bool `json:"bootstrap,omitempty"`
	// PeerKeyFile is the file with the key that all processes of the deployment
	// share.
	PeerKeyFile string `json:"peer_key_file,omitempty"`
	// OperatorKeyFile is the file with the key that operators authenticate with.
	OperatorKeyFile string `json:"operator_key_file,omitempty"`
	// Seeds lists addresses of VMs that run replicas, as an alternative to
	// Replicas. Only their IP addresses are used: all replicas listen for peers
	// on the same port. The process learns the rest of the deployment from them.
	Seeds []string `json:"seeds,omitempty"`
	// LostReplicas is the number of replicas that may lose their disks at the
	// same time; 2*LostReplicas+1 replicas vote. 0 derives the number of voters
	// from Replicas.
	LostReplicas int `json:"lost_replicas,omitempty"`
	// ReplaceVoterMS is how long a voter may be silent before a non-voting
	// replica replaces it, in milliseconds.
	ReplaceVoterMS float64 `json:"replace_voter_ms"`
	// Trust is how calls between processes are authorized.
	Trust Trust `json:"trust"`
	// MemoryMB is the memory that the process may use; 0 sets no limit.
	MemoryMB int `json:"memory_mb,omitempty"`
	// Platform is the address of the platform's API; empty if there is none.
	Platform string `json:"platform,omitempty"`
	// Hosted is set on VMs of a hosting platform with protocols of its own.
	Hosted *Hosted `json:"hosted,omitempty"`
	// TLS is set if callers are served over TLS.
	TLS      *TLS     `json:"tls,omitempty"`
	Log      Log      `json:"log"`
	Limits   Limits   `json:"limits"`
	Timeouts Timeouts `json:"timeouts"`
	// DrainS is how long a graceful shutdown without a reclaim notice waits
	// for requests in flight, in seconds. 0 waits indefinitely.
	DrainS float64 `json:"drain_s"`
}

// Trust is how calls between processes of a deployment are authorized.
type Trust string

// TrustKey requires the shared key on every call. TrustNetwork accepts calls
// without a key, for private networks that no one else can reach.
const (
	TrustKey     Trust = "key"
	TrustNetwork Trust = "private-network"
)

// Hosted configures a VM's interfaces to the hosting platform.
type Hosted struct {
	// Ready is the address at which an entry answers readiness checks of the
	// platform's load balancer.
	Ready string `json:"ready,omitempty"`
	// Control is the address at which a replica serves the platform's operators.
	Control string `json:"control,omitempty"`
	// GraceS is the time between the request to stop the process and its
	// termination, in seconds.
	GraceS float64 `json:"grace_s"`
	// UsageWindowS is the length of a window of usage reports, in seconds; 0
	// disables the reports.
	UsageWindowS float64 `json:"usage_window_s,omitempty"`
	// DutyLeaseMS is how long the platform relies on the holder of a duty, in
	// milliseconds. A new leader waits as long before it takes over duties.
	DutyLeaseMS float64 `json:"duty_lease_ms,omitempty"`
	// ContendedCapacity makes entries hold or refuse calls to model engines by urgency
	// while capacity is insufficient.
	ContendedCapacity bool `json:"contended_capacity,omitempty"`
}

// Role is a part of the system that a process runs.
type Role string

// The roles of a process. The planner runs on the leader among the replicas.
const (
	RoleEntry   Role = "entry"
	RoleReplica Role = "replica"
)

// HasRole reports whether the process runs a role.
func (p *Process) HasRole(role Role) bool {
	for _, r := range p.Roles {
		if r == role {
			return true
		}
	}
	return false
}

// Listen holds the addresses that the process listens on, each an IP address and
// port.
type Listen struct {
	// Callers serves requests of customers. It is required for an entry.
	Callers string `json:"callers,omitempty"`
	// Peers serves calls of other processes of the deployment.
	Peers string `json:"peers"`
	// AnnouncePeers is the address at which other processes reach Peers; empty if
	// it is Peers itself.
	AnnouncePeers string `json:"announce_peers,omitempty"`
	// Admin serves state dumps, metrics and calls of operators.
	Admin string `json:"admin"`
}

// PeerAddress returns the address at which other processes reach the listener for
// peers.
func (l Listen) PeerAddress() string {
	if l.AnnouncePeers != "" {
		return l.AnnouncePeers
	}
	return l.Peers
}

// Peer is another process of the deployment.
type Peer struct {
	VM      string `json:"vm"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
}

// TLS names the PEM files of a certificate and its private key.
type TLS struct {
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
}

// Log configures logging.
type Log struct {
	// Level is the lowest level written: debug, info, warn or error.
	Level string `json:"level"`
}

// Limits restricts the resources that callers may use in one process.
type Limits struct {
	// HeaderBytes limits the size of a request's header.
	HeaderBytes int `json:"header_bytes"`
	// BodyBytes limits the size of a request's body, regardless of its policy.
	BodyBytes int64 `json:"body_bytes"`
	// Connections limits the number of open connections of callers.
	Connections int `json:"connections"`
	// IntakeMemoryMB limits the memory that callers make the process hold; 0 derives
	// it from MemoryMB.
	IntakeMemoryMB int `json:"intake_memory_mb,omitempty"`
}

// Timeouts configures timeouts, in milliseconds.
type Timeouts struct {
	// ReadHeaderMS limits the time from connecting to the end of the header.
	ReadHeaderMS float64 `json:"read_header_ms"`
	// ReadBodyMS limits the time to read a request's body.
	ReadBodyMS float64 `json:"read_body_ms"`
	// WriteMS limits the time of one write to a caller that does not read.
	WriteMS float64 `json:"write_ms"`
	// IdleMS is how long a connection may be idle between requests before it is
	// closed.
	IdleMS float64 `json:"idle_ms"`
	// PeerCallMS limits the time of a call to another process of the deployment.
	PeerCallMS float64 `json:"peer_call_ms"`
}

// DefaultProcess returns the settings that apply where a file omits them.
func DefaultProcess() Process {
	return Process{
		Log: Log{Level: "info"},
		Limits: Limits{
			HeaderBytes: 64 << 10,
			BodyBytes:   16 << 20,
			Connections: 4_096,
		},
		Timeouts: Timeouts{
			ReadHeaderMS: 5_000,
			ReadBodyMS:   30_000,
			WriteMS:      30_000,
			IdleMS:       60_000,
			PeerCallMS:   1_000,
		},
		DrainS:         0,
		Trust:          TrustKey,
		ReplaceVoterMS: 10_000,
	}
}

// Load reads and validates process settings. If the content has errors, the error
// is of type Problems.
func Load(path string) (*Process, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read process settings: %w", err)
	}
	return ParseProcess(path, data)
}

// ParseProcess decodes and validates process settings; name stands for the file in
// errors. If the data has errors, the error is of type Problems.
func ParseProcess(name string, data []byte) (*Process, error) {
	d := parse(name, data)
	process := DefaultProcess()
	d.decode(&process)
	if d.root.Value != nil {
		process.check(d.reportPath)
	}
	if err := d.problems.err(); err != nil {
		return nil, err
	}
	return &process, nil
}
