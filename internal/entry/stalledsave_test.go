package entry

import (
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"waxwingcart/internal/rpc"
)

// publishOnStalledDisk returns an entry that has received revision 1 and saves it
// in order to put it in force. The write ends only with the test, as on a disk that
// hangs: the file that is written first is a pipe that nobody reads.
func publishOnStalledDisk(t *testing.T) *Entry {
	t.Helper()
	e := newStartingEntry(rpc.NewClient(""))
	e.opts.DataDir = t.TempDir()
	path := e.config.savedPath() + ".new"
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	e.config.stage("leader", documentAt(1, true))
	var group sync.WaitGroup
	group.Go(e.config.publish)
	t.Cleanup(func() {
		// A pipe that is open for reading and writing delays no writer.
		pipe, err := os.OpenFile(path, os.O_RDWR, 0)
		if err != nil {
			t.Fatal(err)
		}
		defer pipe.Close()
		group.Wait()
	})
	awaitSaving(t)
	return e
}

// awaitSaving waits until a goroutine saves a configuration.
func awaitSaving(t *testing.T) {
	t.Helper()
	buffer := make([]byte, 1<<20)
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if strings.Contains(string(buffer[:runtime.Stack(buffer, true)]), "savedfile.writeSynced") {
			return
		}
	}
	t.Fatal("the entry does not save the revision")
}

// While the disk has not finished writing the entry's copy, the entry still asks
// for newer revisions, and answers other entries, the collector of its metrics and
// callers whose keys it reserves.
func TestStalledDiskBlocksNoCall(t *testing.T) {
	e := publishOnStalledDisk(t)
	calls := map[string]func(){
		"request":     func() { e.config.request(fetchWait) },
		"serveFetch":  func() { e.config.serveFetch(0) },
		"unconfirmed": func() { e.config.unconfirmed() },
	}
	ended := make(chan string, len(calls))
	for name, call := range calls {
		go func() {
			call()
			ended <- name
		}()
	}
	timeout := time.After(inForceTimeout)
	for len(calls) > 0 {
		select {
		case name := <-ended:
			delete(calls, name)
		case <-timeout:
			for name := range calls {
				t.Errorf("%s waits for the disk", name)
			}
			return
		}
	}
}
