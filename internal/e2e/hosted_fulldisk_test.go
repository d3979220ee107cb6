package e2e

import (
	"fmt"
	"io/fs"
	"math"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
	"unsafe"
)

// limitFileSize sets the size in bytes beyond which a process can't extend a file, as on a full disk.
func limitFileSize(t *testing.T, pid int, bytes uint64) {
	t.Helper()
	const resourceFileSize = 1
	limit := syscall.Rlimit{Cur: bytes, Max: math.MaxUint64}
	if _, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), resourceFileSize, uintptr(unsafe.Pointer(&limit)), 0, 0, 0); errno != 0 {
		t.Fatal(errno)
	}
}

// largestFile returns the size of the largest file below a directory.
func largestFile(t *testing.T, dir string) uint64 {
	t.Helper()
	largest := int64(0)
	err := filepath.WalkDir(dir, func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return nil
		}
		if info, err := entry.Info(); err == nil {
			largest = max(largest, info.Size())
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return uint64(largest)
}

// A replica whose disk is full stays up, whether it leads or not. Another one leads, documents are
// acknowledged and callers are served. Once there is room, it catches up by itself.
func TestHostedFullDisk(t *testing.T) {
	const (
		fullFor = 4 * time.Second
		// ackTime is the time in which a document is acknowledged while a replica's disk is full.
		ackTime = 4 * time.Second
	)
	h := newHostedCluster(t, 1)
	h.platform.addEngine(t, "i-a1", "ledger")
	version := 7
	h.applyDocument(document(version))
	h.eventually("the replicas are complete", h.complete)
	put := func(replica string) bool {
		return h.put(replica, longDocument(version)) == http.StatusOK
	}
	// The processes' output must stay far below the limit that the log is about to reach.
	for range 20 {
		version++
		h.eventually("the document is acknowledged", func() bool { return put("r1") })
	}
	for _, leads := range []bool{true, false} {
		full := h.leader("")
		if !leads {
			for _, name := range []string{"r1", "r2", "r3"} {
				if name != h.leader("") {
					full = name
				}
			}
		}
		pid := h.vms[full].cmd.Process.Pid
		limitFileSize(t, pid, largestFile(t, h.vms[full].dataDir)+100)
		began := time.Now()
		for acknowledged := 0; time.Since(began) < fullFor || acknowledged < 2; {
			version++
			sent := time.Now()
			for n := 0; !put([]string{"r1", "r2", "r3"}[n%3]); n++ {
				if time.Since(sent) > ackTime {
					t.Fatalf("version %d was not acknowledged within %s while the disk of %s is full", version, ackTime, full)
				}
				time.Sleep(100 * time.Millisecond)
			}
			acknowledged++
			if got := h.call("e1", "GET", "/records/1", "id", callerKey, ""); got.status != http.StatusOK {
				t.Errorf("a caller got status %d while the disk of %s is full", got.status, full)
			}
			time.Sleep(300 * time.Millisecond)
		}
		if h.exited(full) {
			t.Fatalf("%s has ended, want it to stay up while its disk is full", full)
		}
		if len(h.linesWith(full, `step="disk"`)) == 0 {
			t.Errorf("%s wrote no line about its full disk", full)
		}
		limitFileSize(t, pid, math.MaxUint64)
		h.eventually("the replicas are complete after "+full+" has room", h.complete)
		h.eventually(full+" reads the newest document", func() bool { return h.version(full) == version })
	}
}

// exited reports whether a process has ended.
func (h *hostedCluster) exited(name string) bool {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", h.vms[name].cmd.Process.Pid))
	if err != nil {
		return true
	}
	_, fields, _ := strings.Cut(string(stat), ") ")
	return strings.HasPrefix(fields, "Z")
}
