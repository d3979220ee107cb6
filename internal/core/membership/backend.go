package membership

import (
	"slices"
	"time"
)

// maxInstances bounds the instances and processes remembered of one VM.
const maxInstances = 8

// instances is what is known of the starts of a backend server's VM and of the
// server's process. Both are texts without order that need not agree, so that
// each is tracked by itself: a process that was restarted on a leaving VM does
// not make the VM stay.
type instances struct {
	// current is the instance that the platform's list shows; shown holds all
	// that it has shown, the newest last. A lagging list that shows an older
	// one again changes nothing.
	current string
	shown   []string
	// left holds the instances that are leaving.
	left []leftInstance
	// process is the process that reported last, leftProcesses those that
	// reported to be leaving.
	process       string
	leftProcesses []string
}

// leftInstance is one instance of a VM that is leaving.
type leftInstance struct {
	record  Record
	learned time.Duration
	// processes are those that reported before the deadline, or the first one
	// to report at all.
	processes []string
}

// meet notes a process that ran on the instance.
func (l *leftInstance) meet(process string) {
	if process != "" && !slices.Contains(l.processes, process) {
		l.processes = remember(l.processes, process)
	}
}

// reclaimed tells whether a VM that the list does not name has been replaced:
// its deadline has passed and a process reports that did not before.
func (l leftInstance) reclaimed(process string, wallMS int64) bool {
	passed := l.record.DeadlineMS != 0 && wallMS > l.record.DeadlineMS
	return passed && process != "" && !slices.Contains(l.processes, process)
}

// show notes the instance that the platform's list shows. The first one that
// becomes known takes over a notice that came without one.
func (i *instances) show(instance string) {
	if instance == "" || slices.Contains(i.shown, instance) {
		return
	}
	if i.current == "" {
		i.bind(instance)
	}
	i.current = instance
	i.shown = remember(i.shown, instance)
}

func (i *instances) bind(instance string) {
	for n := range i.left {
		if i.left[n].record.Instance == "" {
			i.left[n].record.Instance = instance
		}
	}
}

// leave notes that an instance is leaving. It tells whether that is news.
func (i *instances) leave(record Record, now time.Duration) bool {
	if record.Instance == "" {
		record.Instance = i.current
	}
	for n := range i.left {
		if known := &i.left[n]; known.record.Instance == record.Instance {
			known.record = Join(known.record, record)
			return false
		}
	}
	left := leftInstance{record: record, learned: now}
	left.meet(i.process)
	i.left = remember(i.left, left)
	return true
}

// report notes a report of the server's process.
func (i *instances) report(process string, leaving bool, wallMS int64) {
	i.process = process
	for n := range i.left {
		if left := &i.left[n]; len(left.processes) == 0 || !left.reclaimed(process, wallMS) {
			left.meet(process)
		}
	}
	if leaving && !slices.Contains(i.leftProcesses, process) {
		i.leftProcesses = remember(i.leftProcesses, process)
	}
}

// leaving tells whether the VM is leaving. An instance that the list has not
// shown yet counts for a time, as the list lags; after that the list counts.
func (i *instances) leaving(now, hold time.Duration, wallMS int64) bool {
	if slices.Contains(i.leftProcesses, i.process) {
		return true
	}
	for _, left := range i.left {
		instance := left.record.Instance
		if instance == i.current && instance != "" {
			return true
		}
		if i.current == "" && !left.reclaimed(i.process, wallMS) {
			return true
		}
		if i.current != "" && !slices.Contains(i.shown, instance) && now-left.learned < hold {
			return true
		}
	}
	return false
}

// latest returns the record of the instance that became leaving last.
func (i *instances) latest() (Record, bool) {
	if len(i.left) == 0 {
		return Record{}, false
	}
	return i.left[len(i.left)-1].record, true
}

// remember appends to a list and drops its oldest element if it is full.
func remember[T any](list []T, element T) []T {
	if len(list) >= maxInstances {
		list = slices.Delete(list, 0, 1)
	}
	return append(list, element)
}
