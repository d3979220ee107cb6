package membership

import (
	"slices"
	"time"
)

// maxInstances is the maximum length of each list of instances or processes of one
// VM.
const maxInstances = 8

// instances tracks the starts of a backend server's VM and of the server's
// process. The identifiers of both have no order and need not be equal, so each is
// tracked separately: a process that was restarted on a leaving VM does not end the
// VM's leaving state.
type instances struct {
	// current is the instance that the platform's list shows. listed holds all
	// instances that it has shown, the newest last. A lagging list that shows an
	// older one again changes nothing.
	current string
	listed  []string
	// leavingInstances holds the instances that are leaving.
	leavingInstances []leavingInstance
	// lastProcess is the process that sent the last report. leavingProcesses
	// holds those that reported that they are leaving.
	lastProcess      string
	leavingProcesses []string
}

// leavingInstance is an instance that is leaving.
type leavingInstance struct {
	record    Record
	noticedAt time.Duration
	// processes holds the processes that reported before the deadline, or else
	// the first one that reported.
	processes []string
}

// addProcess records a process that ran on the instance.
func (l *leavingInstance) addProcess(process string) {
	if process != "" && !slices.Contains(l.processes, process) {
		l.processes = appendBounded(l.processes, process)
	}
}

// replaced reports whether a VM that is not in the list has been replaced: the
// deadline has passed, and the given process did not report before it.
func (l leavingInstance) replaced(process string, nowMS int64) bool {
	passed := l.record.DeadlineMS != 0 && nowMS > l.record.DeadlineMS
	return passed && process != "" && !slices.Contains(l.processes, process)
}

// setListed records the instance that the platform's list shows. Notices without
// an instance are bound to the first one that becomes known.
func (i *instances) setListed(instance string) {
	if instance == "" || slices.Contains(i.listed, instance) {
		return
	}
	if i.current == "" {
		i.bindNotices(instance)
	}
	i.current = instance
	i.listed = appendBounded(i.listed, instance)
}

// bindNotices assigns an instance to the notices that have none.
func (i *instances) bindNotices(instance string) {
	for n := range i.leavingInstances {
		if i.leavingInstances[n].record.Instance == "" {
			i.leavingInstances[n].record.Instance = instance
		}
	}
}

// markLeaving records that an instance is leaving. It reports whether that was not
// known before.
func (i *instances) markLeaving(record Record, now time.Duration) bool {
	if record.Instance == "" {
		record.Instance = i.current
	}
	for n := range i.leavingInstances {
		if known := &i.leavingInstances[n]; known.record.Instance == record.Instance {
			known.record = Merge(known.record, record)
			return false
		}
	}
	added := leavingInstance{record: record, noticedAt: now}
	added.addProcess(i.lastProcess)
	i.leavingInstances = appendBounded(i.leavingInstances, added)
	return true
}

// recordReport records a report of the server's process.
func (i *instances) recordReport(process string, leaving bool, nowMS int64) {
	i.lastProcess = process
	for n := range i.leavingInstances {
		if l := &i.leavingInstances[n]; len(l.processes) == 0 || !l.replaced(process, nowMS) {
			l.addProcess(process)
		}
	}
	if leaving && !slices.Contains(i.leavingProcesses, process) {
		i.leavingProcesses = appendBounded(i.leavingProcesses, process)
	}
}

// leaving reports whether the VM is leaving. A notice for an instance that the list
// has not shown yet counts for noticeHold, since the list lags; after that the list
// is trusted.
func (i *instances) leaving(now, noticeHold time.Duration, nowMS int64) bool {
	if slices.Contains(i.leavingProcesses, i.lastProcess) {
		return true
	}
	for _, l := range i.leavingInstances {
		instance := l.record.Instance
		if instance == i.current && instance != "" {
			return true
		}
		if i.current == "" && !l.replaced(i.lastProcess, nowMS) {
			return true
		}
		if i.current != "" && !slices.Contains(i.listed, instance) && now-l.noticedAt < noticeHold {
			return true
		}
	}
	return false
}

// newestLeaving returns the record of the instance that was marked as leaving last.
func (i *instances) newestLeaving() (Record, bool) {
	if len(i.leavingInstances) == 0 {
		return Record{}, false
	}
	return i.leavingInstances[len(i.leavingInstances)-1].record, true
}

// appendBounded appends to a list and drops the oldest element if it is full.
func appendBounded[T any](list []T, element T) []T {
	if len(list) >= maxInstances {
		list = slices.Delete(list, 0, 1)
	}
	return append(list, element)
}
