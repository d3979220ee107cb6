package e2e

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// memoryInterval is the interval at which a process's memory is sampled.
const memoryInterval = 25 * time.Millisecond

// memoryUse is what counts against a VM's memory.
type memoryUse struct {
	// resident is the process's resident size and unread what has arrived at its sockets and was not read,
	// both in bytes.
	resident, unread int64
	// descriptors counts open descriptors.
	descriptors int
}

func (u memoryUse) total() int64 { return u.resident + u.unread }

func (u memoryUse) String() string {
	return fmt.Sprintf("%d MB (%d resident, %d unread), %d descriptors", u.total()>>20, u.resident>>20, u.unread>>20, u.descriptors)
}

var residentSize = regexp.MustCompile(`(?m)^VmRSS:\s+(\d+) kB$`)

// memoryOf measures a process. It returns false if the process has ended.
func memoryOf(pid int) (memoryUse, bool) {
	dir := fmt.Sprintf("/proc/%d", pid)
	status, _ := os.ReadFile(dir + "/status")
	found := residentSize.FindSubmatch(status)
	if found == nil {
		return memoryUse{}, false
	}
	residentKB, _ := strconv.ParseInt(string(found[1]), 10, 64)
	descriptors, err := os.ReadDir(dir + "/fd")
	if err != nil {
		return memoryUse{}, false
	}
	sockets := make(map[string]bool)
	for _, descriptor := range descriptors {
		link, _ := os.Readlink(filepath.Join(dir, "fd", descriptor.Name()))
		if inode, ok := strings.CutPrefix(link, "socket:["); ok {
			sockets[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return memoryUse{resident: residentKB << 10, unread: unreadBytes(sockets), descriptors: len(descriptors)}, true
}

// unreadBytes returns how many bytes lie unread in the sockets with the given inodes, and in the connections that
// the listeners among them have not accepted yet.
func unreadBytes(sockets map[string]bool) int64 {
	const (
		localColumn, stateColumn, queueColumn, inodeColumn = 1, 3, 4, 9
		stateListen                                        = "0A"
	)
	table, _ := os.ReadFile("/proc/net/tcp")
	listening, unaccepted := make(map[string]bool), make(map[string]int64)
	total := int64(0)
	for lines := bufio.NewScanner(bytes.NewReader(table)); lines.Scan(); {
		columns := strings.Fields(lines.Text())
		if len(columns) <= inodeColumn {
			continue
		}
		own := sockets[columns[inodeColumn]]
		if columns[stateColumn] == stateListen {
			if own {
				listening[columns[localColumn]] = true
			}
			continue
		}
		_, queue, _ := strings.Cut(columns[queueColumn], ":")
		unread, _ := strconv.ParseInt(queue, 16, 64)
		switch {
		case own:
			total += unread
		case columns[inodeColumn] == "0":
			unaccepted[columns[localColumn]] += unread
		}
	}
	for address := range listening {
		total += unaccepted[address]
	}
	return total
}

// memoryWatch samples the memory of a process.
type memoryWatch struct {
	stop chan struct{}
	done sync.WaitGroup

	mu sync.Mutex
	// peak is the sample with most memory, and descriptors the most descriptors of any sample.
	peak        memoryUse
	descriptors int
}

// watchMemory samples a process until the test ends or the process does.
func watchMemory(t testing.TB, pid int) *memoryWatch {
	w := &memoryWatch{stop: make(chan struct{})}
	w.done.Go(func() {
		for {
			use, alive := memoryOf(pid)
			if !alive {
				return
			}
			w.note(use)
			select {
			case <-w.stop:
				return
			case <-time.After(memoryInterval):
			}
		}
	})
	t.Cleanup(func() { close(w.stop); w.done.Wait() })
	return w
}

func (w *memoryWatch) note(use memoryUse) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.descriptors = max(w.descriptors, use.descriptors)
	if use.total() > w.peak.total() {
		w.peak = use
	}
}

// most returns the sample with most memory, with the most descriptors of any sample.
func (w *memoryWatch) most() memoryUse {
	w.mu.Lock()
	defer w.mu.Unlock()
	peak := w.peak
	peak.descriptors = w.descriptors
	return peak
}
