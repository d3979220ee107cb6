package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// TestCheckMessages compares the messages of Check with golden files. Operators
// see these messages, so a change must be deliberate.
func TestCheckMessages(t *testing.T) {
	files, err := filepath.Glob("testdata/*.jsonc")
	if err != nil || len(files) == 0 {
		t.Fatalf("no test data: %v", err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".jsonc")
		t.Run(name, func(t *testing.T) {
			kind, problems, err := Check(file)
			if err != nil {
				t.Fatal(err)
			}
			lines := string(kind) + "\n" + problems.Error() + "\n"
			goldie.New(t).Assert(t, name, []byte(lines))
		})
	}
}

func TestCheckMissingFile(t *testing.T) {
	if _, _, err := Check("testdata/absent.jsonc"); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("got %v, expected os.ErrNotExist", err)
	}
}

func TestExamplesPassCheck(t *testing.T) {
	fleets, processes := 0, 0
	err := filepath.WalkDir("../../examples", func(path string, entry os.DirEntry, err error) error {
		if err != nil || filepath.Ext(path) != ".jsonc" {
			return err
		}
		kind, problems, err := Check(path)
		if err != nil || len(problems) > 0 {
			t.Errorf("%s: got error %v, expected none and no problems:\n%v", path, err, problems)
		}
		if kind == KindFleet {
			fleets++
		} else {
			processes++
		}
		return nil
	})
	if err != nil || fleets != 2 || processes != 14 {
		t.Errorf("%d fleet configurations and %d process settings, expected 2 and 14: %v", fleets, processes, err)
	}
}

// TestExampleSizes checks the size of each example, and that its process settings
// agree with each other.
func TestExampleSizes(t *testing.T) {
	for name, servers := range map[string]map[string]int{
		"ledgerworks": {"model": 12, "app": 4},
		"carpatia":    {"model": 9, "app": 4},
	} {
		config, err := LoadFleet("../../examples/" + name + "/fleet.jsonc")
		if err != nil {
			t.Fatal(err)
		}
		kinds := make(map[string]string)
		for _, service := range config.Services {
			kinds[service.Name] = string(service.Kind)
		}
		for _, server := range config.BackendServers {
			servers[kinds[server.Service]]--
		}
		if servers["model"] != 0 || servers["app"] != 0 || len(config.Customers) != 5 || len(config.Zones) != 4 {
			t.Errorf("%s: missing servers by kind %v, expected 0 each; %d customers, expected 5; %d zones, expected 4", name, servers, len(config.Customers), len(config.Zones))
		}
		checkProcesses(t, name)
	}
}

func checkProcesses(t *testing.T, name string) {
	files, err := filepath.Glob("../../examples/" + name + "/entry-*.jsonc")
	if err != nil || len(files) != 7 {
		t.Fatalf("%s: %d process settings, expected 7: %v", name, len(files), err)
	}
	replicas, bootstrapping := 0, 0
	peers := make(map[string]string)
	for _, file := range files {
		process, err := Load(file)
		if err != nil {
			t.Fatal(err)
		}
		if process.HasRole(RoleReplica) {
			replicas++
		}
		if process.Bootstrap {
			bootstrapping++
		}
		peers[process.Name] = process.Listen.Peers
		if len(process.Entries) != 6 || len(process.Replicas) != 5 {
			t.Errorf("%s lists %d entries and %d replicas, expected 6 and 5", file, len(process.Entries), len(process.Replicas))
		}
	}
	for _, file := range files {
		process, _ := Load(file)
		for _, peer := range append(process.Entries, process.Replicas...) {
			if peers[peer.VM] != peer.Address {
				t.Errorf("%s: %s is at %s, expected %s", file, peer.VM, peer.Address, peers[peer.VM])
			}
		}
	}
	if replicas != 5 || bootstrapping != 1 {
		t.Errorf("%s: %d replicas, %d of them bootstrapping, expected 5 and 1", name, replicas, bootstrapping)
	}
}

func TestDefaultsForOmittedSettings(t *testing.T) {
	process, err := ParseProcess("p", []byte(`{
		"name": "entry-1", "zone": "tvm", "roles": ["entry"],
		"listen": {"callers": "127.0.0.1:1", "peers": "127.0.0.1:2", "admin": "[::1]:3"},
		"replicas": [{"vm": "entry-2", "zone": "tvm", "address": "127.0.0.1:4"}],
		"peer_key_file": "peer.key", "operator_key_file": "operator.key",
		"timeouts": {"idle_ms": 70},
	}`))
	if err != nil {
		t.Fatal(err)
	}
	want := DefaultProcess().Timeouts
	want.IdleMS = 70
	if process.Timeouts != want || process.Limits != DefaultProcess().Limits || process.Log.Level != "info" {
		t.Errorf("got %+v, expected idle_ms 70, and the defaults for the other timeouts, the limits and the log level", process)
	}
}

// addSeeds adds every file of the tests and examples to the corpus.
func addSeeds(f *testing.F) {
	for _, pattern := range []string{"testdata/*.jsonc", "../../examples/*/*.jsonc"} {
		files, _ := filepath.Glob(pattern)
		for _, file := range files {
			data, err := os.ReadFile(file)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(data)
		}
	}
}

// checkPositions fails unless each problem is on one line and its position is in
// the data.
func checkPositions(t *testing.T, data []byte, err error) {
	var problems Problems
	if !errors.As(err, &problems) || len(problems) == 0 {
		t.Fatalf("got %v, expected problems", err)
	}
	lines := strings.Split(string(data), "\n")
	for _, p := range problems {
		if p.Line < 1 || p.Line > len(lines) || p.Column < 1 || p.Column > len(lines[p.Line-1])+1 {
			t.Fatalf("%s: position is not in the data", p)
		}
		if strings.Contains(p.String(), "\n") {
			t.Fatalf("%q has more than one line", p)
		}
	}
}

func FuzzParseProcess(f *testing.F) {
	addSeeds(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := ParseProcess("f", data); err != nil {
			checkPositions(t, data, err)
		}
	})
}

func FuzzParseFleet(f *testing.F) {
	addSeeds(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		config, err := ParseFleet("f", data)
		if err != nil {
			checkPositions(t, data, err)
			return
		}
		if problems := config.Validate(); len(problems) > 0 {
			t.Fatalf("accepted a configuration with problems: %v", problems)
		}
	})
}
