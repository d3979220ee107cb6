//go:build review

package main

import (
	"bytes"
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

// Ports, the same at all machines.
const (
	portPeers    = 7600
	portFront    = 8221
	portReady    = 8224
	portControl  = 8229
	portPlatform = 8225
)

// program is the binary that the deploy file builds.
const program = "target/waxwingcart"

// lab is a small deployment on loopback: three core machines, some edge machines, the
// platform and the engines.
type lab struct {
	network int
	dir     string
	began   time.Time

	mu       sync.Mutex
	record   *os.File
	machines map[string]*machine
	platform *platform
	client   *http.Client
}

// machine is one process of the system.
type machine struct {
	name, zone, ip string
	core           bool
	settings       string
	command        *exec.Cmd
	ended          chan struct{}
}

var labZones = []string{"brasov-a", "sibiu-b", "cluj-c", "mures-d"}

func newLab(folder string) (*lab, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("run the build of the deploy file first: %w", err)
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-lab-")
	if err != nil {
		return nil, err
	}
	l := &lab{dir: dir, began: time.Now(), record: record, machines: make(map[string]*machine)}
	l.client = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	l.network, err = freeNetwork()
	if err != nil {
		return nil, err
	}
	l.platform = newPlatform(l)
	return l, l.serve(l.ip(250), portPlatform, l.platform)
}

// freeNetwork returns the second octet of loopback addresses that are not in use.
func freeNetwork() (int, error) {
	for range 200 {
		network := 10 + rand.IntN(200)
		free := true
		for _, host := range []int{1, 2, 3, 11, 12, 250} {
			for _, port := range []int{portPeers, portFront, portControl, portPlatform} {
				listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.%d:%d", network, host, port))
				if err != nil {
					free = false
					continue
				}
				_ = listener.Close()
			}
		}
		if free {
			return network, nil
		}
	}
	return 0, errors.New("no free loopback network")
}

func (l *lab) ip(host int) string { return fmt.Sprintf("127.%d.0.%d", l.network, host) }

// serve serves a handler of the lab at an address.
func (l *lab) serve(ip string, port int, handler http.Handler) error {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(listener, handler) }()
	return nil
}

// note writes a line with the time since the start to the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
}

// start starts three core machines and some edge machines.
func (l *lab) start(edges int) error {
	for i := range 3 {
		l.add(&machine{name: fmt.Sprintf("core-%d", i+1), ip: l.ip(1 + i), zone: labZones[i], core: true})
	}
	for i := range edges {
		l.add(&machine{name: fmt.Sprintf("edge-%d", i+1), ip: l.ip(11 + i), zone: labZones[i%len(labZones)]})
	}
	for _, m := range l.machines {
		if err := l.write(m, true); err != nil {
			return err
		}
	}
	for _, m := range l.machines {
		if err := l.run(m); err != nil {
			return err
		}
	}
	return nil
}

func (l *lab) add(m *machine) {
	m.settings = filepath.Join(l.dir, m.name+".jsonc")
	l.machines[m.name] = m
}

// write writes a machine's settings as deploy/entry.jsonc and deploy/replica.jsonc do.
func (l *lab) write(m *machine, first bool) error {
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("%s:%d", l.ip(1+i), portControl))
	}
	content := map[string]any{
		"name": m.name, "zone": m.zone, "region": "transilvania",
		"seeds": seeds, "trust": "private-network", "memory_mb": 284,
		"platform": fmt.Sprintf("%s:%d", l.ip(250), portPlatform),
	}
	listen := map[string]any{"peers": fmt.Sprintf("%s:%d", m.ip, portPeers), "admin": m.ip + ":7601"}
	hosted := map[string]any{"grace_s": 8, "usage_window_s": 5}
	if m.core {
		content["roles"] = []string{"replica"}
		content["data_dir"] = filepath.Join(l.dir, m.name)
		content["bootstrap"], content["lost_replicas"], content["replace_voter_ms"] = first, 1, 2000
		hosted["control"], hosted["duty_lease_ms"] = fmt.Sprintf("%s:%d", m.ip, portControl), 3000
	} else {
		content["roles"] = []string{"entry"}
		listen["callers"] = fmt.Sprintf("%s:%d", m.ip, portFront)
		hosted["ready"] = fmt.Sprintf("%s:%d", m.ip, portReady)
	}
	content["listen"], content["hosted"] = listen, hosted
	data, err := json.MarshalIndent(content, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(m.settings, data, 0o600)
}

// run starts a machine's process.
func (l *lab) run(m *machine) error {
	out, err := os.OpenFile(filepath.Join(l.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.command = exec.Command(program, "run", "--config", m.settings)
	m.command.Stdout, m.command.Stderr = out, out
	m.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.command.Start(); err != nil {
		return err
	}
	ended, command := make(chan struct{}), m.command
	m.ended = ended
	go func() {
		_ = command.Wait()
		_ = out.Close()
		close(ended)
	}()
	l.note("%s started", m.name)
	return nil
}

// signal sends a signal to a machine's process.
func (l *lab) signal(name string, signal syscall.Signal) {
	l.note("%s gets %v", name, signal)
	_ = l.machines[name].command.Process.Signal(signal)
}

// close ends all processes.
func (l *lab) close() {
	for _, m := range l.machines {
		if m.command == nil || m.command.Process == nil {
			continue
		}
		_ = m.command.Process.Signal(syscall.SIGCONT)
		_ = m.command.Process.Kill()
		<-m.ended
	}
	if keep := os.Getenv("REVIEW_KEEP"); keep == "" {
		_ = os.RemoveAll(l.dir)
	} else {
		l.note("logs are kept in %s", l.dir)
	}
	_ = l.record.Close()
}

// put sends a configuration to the core until one machine acknowledges it.
func (l *lab) put(document map[string]any) error {
	data, err := json.Marshal(document)
	if err != nil {
		return err
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for i := range 3 {
			url := fmt.Sprintf("http://%s:%d/v1/config/put", l.ip(1+i), portControl)
			response, err := l.client.Post(url, "application/json", bytes.NewReader(data))
			if err != nil {
				continue
			}
			text, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				l.note("configuration %v acknowledged by core-%d", document["version"], i+1)
				return nil
			}
			if response.StatusCode < 500 {
				return fmt.Errorf("configuration refused: %d %s", response.StatusCode, text)
			}
		}
	}
	return errors.New("no machine acknowledged the configuration")
}

// awaitReady waits until all edge machines are ready.
func (l *lab) awaitReady() error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := true
		for _, m := range l.machines {
			if m.core {
				continue
			}
			response, err := l.client.Get(fmt.Sprintf("http://%s:%d/v1/readyz", m.ip, portReady))
			if err != nil {
				ready = false
				continue
			}
			_ = response.Body.Close()
			ready = ready && response.StatusCode == http.StatusOK
		}
		if ready {
			l.note("all edge machines are ready")
			return nil
		}
	}
	return errors.New("not all edge machines became ready")
}

// tenantKey is the key of the only tenant.
const tenantKey = "i9n73hh2b9wu3fexd9dn"

// document returns a configuration with the given routes and services.
func document(version int, services []map[string]any, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "hule930", "api_keys": []string{tenantKey}, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 167413, "burst": 167413}},
	}
}

// host is the host of all routes.
const host = "ficu95.example"

// newID returns the ID of a client attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call sends a request to an edge machine on a new connection, and returns the status, or
// 0 without an answer.
func (l *lab) call(edge int, method, path, id string, deadline time.Duration, body string) (status int, stamp string) {
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", l.ip(10+edge), portFront, path), strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	request.Host = host
	request.Header.Set("Waxwingcart-Request-Id", id)
	request.Header.Set("Waxwingcart-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+tenantKey)
	client := &http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	if _, err := io.ReadAll(response.Body); err != nil {
		return 0, ""
	}
	return response.StatusCode, response.Header.Get("Waxwingcart-Stamp")
}
