// Package e2e tests complete deployments on loopback: it starts the real binary
// and kills or freezes processes, deletes data directories and injects faults at
// stand-ins of the backend servers.
package e2e

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"waxwingcart/internal/core/fleet"
	// TestMain builds the binary from this package. The import makes "go test"
	// discard its cached result when the package or a dependency changes.
	_ "waxwingcart/internal/process"
	"waxwingcart/internal/settings"
)

const (
	callerKey    = "caller-key"
	operatorKey  = "operator-key"
	peerKey      = "peer-key"
	waitTimeout  = 60 * time.Second
	pollInterval = 50 * time.Millisecond
)

var binaryPath string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "waxwingcart-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binaryPath = filepath.Join(dir, "waxwingcart")
	build := exec.Command("go", "build", "-o", binaryPath, "waxwingcart/cmd/waxwingcart")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

// nextPort is the port that was tried last. The ports lie below the kernel's
// ephemeral range, so that no outgoing connection takes one before the process
// under test listens on it.
var nextPort = 10_000 + rand.IntN(15_000)

func freeAddress(t testing.TB) string {
	t.Helper()
	for range 1000 {
		nextPort++
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		listener, err := net.Listen("tcp", address)
		if err == nil {
			_ = listener.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

// vm is a process under test, or a stand-in, with the addresses that it listens
// on and its files.
type vm struct {
	name, zone                               string
	callerAddress, peerAddress, adminAddress string
	settingsPath, dataDir, logPath           string
	cmd                                      *exec.Cmd
}

// cluster is a deployment under test; servers holds the addresses of the
// stand-ins by name.
type cluster struct {
	t       testing.TB
	dir     string
	vms     map[string]*vm
	servers map[string]string
	fleet   fleet.Config
	// operatorKey is the key for the admin addresses, empty if the processes need
	// none.
	operatorKey string
}

var zones = []string{"kochi-a", "kochi-b", "tvm"}

// newCluster starts replicas r1, r2, ..., entries e1, e2, ..., the stand-ins of
// two engines m1 and m2, an app server a1 and a platform p1. It applies the
// configuration, with the changes given, as revision 1 and waits until all entries
// are ready.
func newCluster(t *testing.T, replicas, entries int, changes ...func(*fleet.Config)) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir(), vms: make(map[string]*vm), servers: make(map[string]string), operatorKey: operatorKey}
	c.writeFile("peer.key", peerKey)
	c.writeFile("operator.key", operatorKey)
	for i := range replicas {
		c.addVM(fmt.Sprintf("r%d", i+1), zones[i%len(zones)])
	}
	for i := range entries {
		c.addVM(fmt.Sprintf("e%d", i+1), zones[i%len(zones)])
	}
	for _, name := range []string{"m1", "m2", "a1", "p1"} {
		c.servers[name] = freeAddress(t)
	}
	for _, v := range c.vms {
		c.writeSettings(v)
	}
	t.Cleanup(c.stopAll)
	c.startServer("m1", "--kind", "model", "--vendor", "alpha")
	c.startServer("m2", "--kind", "model", "--vendor", "beta")
	c.startServer("a1", "--kind", "app", "--vendor", "gamma")
	c.startPlatform()
	for name := range c.vms {
		if name[0] == 'r' || name[0] == 'e' {
			c.start(name)
		}
	}
	c.fleet = c.newFleet()
	for _, change := range changes {
		change(&c.fleet)
	}
	c.waitVoters("r1", min(replicas, 3))
	c.mustApply("first", 0)
	for name := range c.vms {
		if name[0] == 'e' {
			c.waitReady(name)
		}
	}
	return c
}

func (c *cluster) addVM(name, zone string) {
	c.vms[name] = &vm{
		name: name, zone: zone,
		callerAddress: freeAddress(c.t), peerAddress: freeAddress(c.t), adminAddress: freeAddress(c.t),
		settingsPath: filepath.Join(c.dir, name+".json"), dataDir: filepath.Join(c.dir, name),
		logPath: filepath.Join(c.dir, name+".log"),
	}
}

func (c *cluster) writeFile(name, content string) string {
	path := filepath.Join(c.dir, name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return path
}

func (c *cluster) peersOf(kind byte) []settings.Peer {
	var list []settings.Peer
	for _, v := range c.vms {
		if v.name[0] == kind {
			list = append(list, settings.Peer{VM: v.name, Zone: v.zone, Address: v.peerAddress})
		}
	}
	return list
}

func (c *cluster) writeSettings(v *vm) {
	process := settings.DefaultProcess()
	process.Name, process.Zone = v.name, v.zone
	process.Listen = settings.Listen{Peers: v.peerAddress, Admin: v.adminAddress}
	process.Roles = []settings.Role{settings.RoleReplica}
	if v.name[0] == 'e' {
		process.Roles = []settings.Role{settings.RoleEntry}
		process.Listen.Callers = v.callerAddress
	}
	process.DataDir = v.dataDir
	process.Replicas, process.Entries = c.peersOf('r'), c.peersOf('e')
	process.Bootstrap = v.name == "r1"
	process.PeerKeyFile = filepath.Join(c.dir, "peer.key")
	process.OperatorKeyFile = filepath.Join(c.dir, "operator.key")
	process.Platform = c.servers["p1"]
	process.DrainS = 30
	process.Timeouts.ReadHeaderMS, process.Timeouts.ReadBodyMS = 2_000, 2_000
	data, err := json.Marshal(process)
	if err != nil {
		c.t.Fatal(err)
	}
	c.writeFile(v.name+".json", string(data))
}

func (c *cluster) newFleet() fleet.Config {
	hash := sha256.Sum256([]byte(callerKey))
	server := func(name, service, zone, vendor string) fleet.BackendServer {
		return fleet.BackendServer{Name: name, VM: name, Service: service, Zone: zone, Class: "spot",
			Address: c.servers[name], Vendor: vendor, Fencing: fleet.FencingChecked}
	}
	policy := fleet.DefaultPolicy()
	policy.MaxAttempts, policy.RetryBudgetRatio, policy.DeadlineMS = 4, 1, 30_000
	policy.ProgressTimeoutMS = 1_000
	// On a shared machine, admission refuses requests that would miss the default
	// target. These tests do not cover admission, so the target is the deadline.
	policy.FirstTokenTargetMS = policy.DeadlineMS
	prices := map[string]float64{}
	config := fleet.Config{Defaults: policy}
	for _, zone := range zones {
		config.Zones = append(config.Zones, fleet.Zone{Name: zone})
		prices[zone] = 0.4
	}
	config.Classes = []fleet.MachineClass{{Name: "spot", Reclaimable: true, PricesPerHour: prices, TokensPerSecond: 1600, Slots: 8,
		KVBytesPerToken: 64, ExportBytesPerSecond: 1 << 24}}
	config.Services = []fleet.Service{
		{Name: "briefings", Kind: fleet.ServiceModel, Model: "briefing-70b"},
		{Name: "desk", Kind: fleet.ServiceApp},
	}
	config.BackendServers = []fleet.BackendServer{
		server("m1", "briefings", "kochi-a", "alpha"),
		server("m2", "briefings", "kochi-b", "beta"),
		server("a1", "desk", "kochi-a", "gamma"),
	}
	config.Customers = []fleet.Customer{{Name: "heirs", KeyHashes: []string{hex.EncodeToString(hash[:])},
		Weight: 1, RequestsPerSecond: 1000, TokensPerSecond: 1e6, MaxInFlight: 1000}}
	return config
}

func (c *cluster) startServer(name string, flags ...string) {
	v := &vm{name: name, logPath: filepath.Join(c.dir, name+".log")}
	c.vms[name] = v
	c.run(v, append([]string{"standin", "--listen", c.servers[name], "--name", name}, flags...))
}

// startPlatform starts the stand-in of the platform, which lists every
// process started or added so far, except the app server.
func (c *cluster) startPlatform() {
	flags := []string{"--kind", "platform"}
	for name, v := range c.vms {
		address := v.callerAddress
		if v.callerAddress == "" {
			address = c.servers[name]
		}
		flags = append(flags, "--vm", name+","+zones[0]+",spot,"+address)
	}
	c.startServer("p1", flags...)
}

func (c *cluster) start(name string) {
	v := c.vms[name]
	c.run(v, []string{"run", "--config", v.settingsPath})
}

func (c *cluster) run(v *vm, args []string) {
	c.t.Helper()
	logFile, err := os.OpenFile(v.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		c.t.Fatal(err)
	}
	defer logFile.Close()
	cmd := exec.Command(binaryPath, args...)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	v.cmd = cmd
}

func (c *cluster) signal(name string, signal syscall.Signal) {
	c.t.Helper()
	if err := c.vms[name].cmd.Process.Signal(signal); err != nil {
		c.t.Fatalf("signal %s: %v", name, err)
	}
}

// stop signals a process, waits for it to exit and returns its exit error.
func (c *cluster) stop(name string, signal syscall.Signal) error {
	c.t.Helper()
	c.signal(name, signal)
	v := c.vms[name]
	err := v.cmd.Wait()
	v.cmd = nil
	return err
}

func (c *cluster) stopAll() {
	for _, v := range c.vms {
		if v.cmd != nil {
			_ = v.cmd.Process.Kill()
			_ = v.cmd.Wait()
		}
		if c.t.Failed() {
			c.logTail(v)
		}
	}
}

func (c *cluster) logTail(v *vm) {
	data, err := os.ReadFile(v.logPath)
	if err != nil {
		return
	}
	c.t.Logf("end of the log of %s:\n%s", v.name, data[max(0, len(data)-3000):])
}

// eventually polls until a condition holds, and fails the test after
// waitTimeout, which is much longer than a passing test waits.
func (c *cluster) eventually(what string, condition func() bool) {
	c.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if condition() {
			return
		}
	}
	c.t.Fatalf("timed out waiting for: %s", what)
}
