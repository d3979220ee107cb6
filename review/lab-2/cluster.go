//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of all VMs; each VM has its own loopback address.
const (
	peersPort   = 7600
	adminPort   = 7601
	frontPort   = 8221
	readyPort   = 8224
	controlPort = 8229
)

var zones = []string{"kochi-a", "kochi-b", "tvm"}

// vm is one VM with one process.
type vm struct {
	name, zone, ip, settings, data, log string
	replica                             bool

	// mu guards the process.
	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

func (v *vm) process() (*exec.Cmd, chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.cmd, v.ended
}

// cluster is a small deployment on loopback addresses.
type cluster struct {
	dir      string
	binary   string
	network  int
	vms      []*vm
	platform *platform
	record   *record
	guard    net.Listener

	// mu is held while a process is started or the deployment is stopped.
	mu      sync.Mutex
	stopped bool
}

var errStopped = errors.New("the deployment is stopped")

// record writes what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// newCluster starts three replicas and some entries.
func newCluster(binary string, entries int, record *record) (*cluster, error) {
	dir, err := os.MkdirTemp("", "waxwingcart-review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{dir: dir, binary: binary, record: record}
	if err := c.reserve(); err != nil {
		return nil, err
	}
	c.platform, err = newPlatform(c.address(250, 0), record)
	if err != nil {
		return nil, err
	}
	for i := range 3 {
		c.add(fmt.Sprintf("core-%s-1", zones[i]), zones[i], i+1, true)
	}
	for i := range entries {
		c.add(fmt.Sprintf("edge-%s-1", zones[i%len(zones)]), zones[i%len(zones)], 11+i, false)
	}
	for _, v := range c.vms {
		if err := c.writeSettings(v, true); err != nil {
			return nil, err
		}
		if err := c.start(v); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// reserve finds a range of loopback addresses that nothing uses.
func (c *cluster) reserve() error {
	for range 1000 {
		c.network = 10 + rand.IntN(200)
		guard, err := net.Listen("tcp", c.address(254, peersPort))
		if err == nil {
			c.guard = guard
			return nil
		}
	}
	return errors.New("no free loopback addresses")
}

func (c *cluster) address(host, port int) string {
	return fmt.Sprintf("127.%d.0.%d:%d", c.network, host, port)
}

func (c *cluster) add(name, zone string, host int, replica bool) {
	c.vms = append(c.vms, &vm{
		name: name, zone: zone, ip: fmt.Sprintf("127.%d.0.%d", c.network, host), replica: replica,
		settings: filepath.Join(c.dir, name+".jsonc"), data: filepath.Join(c.dir, name), log: filepath.Join(c.dir, name+".log"),
	})
}

// writeSettings writes what deploy/entry.jsonc and deploy/replica.jsonc say.
func (c *cluster) writeSettings(v *vm, bootstrap bool) error {
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, c.address(i+1, controlPort))
	}
	settings := map[string]any{
		"name": v.name, "zone": v.zone, "region": "kerala", "seeds": seeds, "trust": "private-network", "platform": c.platform.address,
	}
	listen := map[string]any{"peers": fmt.Sprintf("%s:%d", v.ip, peersPort), "admin": fmt.Sprintf("%s:%d", v.ip, adminPort)}
	if v.replica {
		settings["roles"] = []string{"replica"}
		settings["data_dir"], settings["bootstrap"] = v.data, bootstrap
		settings["lost_replicas"], settings["replace_voter_ms"], settings["memory_mb"] = 1, 2000, 280
		settings["hosted"] = map[string]any{"control": fmt.Sprintf("%s:%d", v.ip, controlPort), "grace_s": 8, "usage_window_s": 5, "duty_lease_ms": 3000}
	} else {
		settings["roles"] = []string{"entry"}
		settings["memory_mb"] = 284
		listen["callers"] = fmt.Sprintf("%s:%d", v.ip, frontPort)
		settings["hosted"] = map[string]any{"ready": fmt.Sprintf("%s:%d", v.ip, readyPort), "grace_s": 8, "usage_window_s": 5}
	}
	settings["listen"] = listen
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	return os.WriteFile(v.settings, data, 0o600)
}

// start starts the process of a VM with the command of the deploy file.
func (c *cluster) start(v *vm) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return errStopped
	}
	log, err := os.OpenFile(v.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(c.binary, "run", "--config", v.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	v.mu.Lock()
	v.cmd, v.ended = cmd, ended
	v.mu.Unlock()
	c.record.printf("started %s", v.name)
	go func() {
		err := cmd.Wait()
		c.record.printf("%s ended: %v", v.name, err)
		close(ended)
	}()
	return nil
}

func (v *vm) running() bool {
	_, ended := v.process()
	select {
	case <-ended:
		return false
	default:
		return true
	}
}

// kill ends the process of a VM and waits for its end.
func (v *vm) kill() {
	cmd, ended := v.process()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-ended
}

func (v *vm) signal(s syscall.Signal) {
	cmd, _ := v.process()
	_ = cmd.Process.Signal(s)
}

// lastLine returns the last line of the log of a VM.
func (v *vm) lastLine() string {
	data, _ := os.ReadFile(v.log)
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	// Messages may hold the path of the sources.
	if source, err := os.Getwd(); err == nil {
		return strings.ReplaceAll(lines[len(lines)-1], source+"/", "")
	}
	return lines[len(lines)-1]
}

// stop ends all processes and removes their files.
func (c *cluster) stop() {
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	for _, v := range c.vms {
		v.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs in", c.dir)
	}
}

func (c *cluster) replicas() (list []*vm) {
	for _, v := range c.vms {
		if v.replica {
			list = append(list, v)
		}
	}
	return list
}

func (c *cluster) entries() (list []*vm) {
	for _, v := range c.vms {
		if !v.replica {
			list = append(list, v)
		}
	}
	return list
}

// operatorClient moves on after a second without a response, as the users' operators do.
var operatorClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (v *vm) control(path string) string {
	return fmt.Sprintf("http://%s:%d%s", v.ip, controlPort, path)
}

// put sends a document until a replica acknowledges it or the time is over.
func (c *cluster) put(content []byte, within time.Duration) bool {
	replicas := c.replicas()
	for end, i := time.Now().Add(within), 0; time.Now().Before(end); i++ {
		response, err := operatorClient.Post(replicas[i%len(replicas)].control("/v1/config/put"), "application/json", strings.NewReader(string(content)))
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// version reads the configuration back until a replica answers or the time is over, and returns its version, or 0.
func (c *cluster) version(within time.Duration) int {
	replicas := c.replicas()
	for end, i := time.Now().Add(within), 0; time.Now().Before(end); i++ {
		v := replicas[i%len(replicas)]
		response, err := operatorClient.Get(v.control("/v1/config/get"))
		if err == nil {
			var content struct {
				Version int `json:"version"`
			}
			decodeErr := json.NewDecoder(response.Body).Decode(&content)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK && decodeErr == nil {
				return content.Version
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0
}

// awaitReady waits until all entries are ready.
func (c *cluster) awaitReady(within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := true
		for _, v := range c.entries() {
			response, err := operatorClient.Get(fmt.Sprintf("http://%s:%d/v1/readyz", v.ip, readyPort))
			ready = ready && err == nil && response.StatusCode == http.StatusOK
			if err == nil {
				_ = response.Body.Close()
			}
		}
		if ready {
			return true
		}
	}
	return false
}
