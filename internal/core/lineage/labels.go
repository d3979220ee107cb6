package lineage

import "time"

const (
	// RelabelWindow is how long before the list shows another version of an instance
	// streams may have begun there at either version: a server may start again under
	// its identity, and the list lags.
	RelabelWindow = 10 * time.Second
	// labelKept is how long the version of an instance is remembered that is no longer
	// listed.
	labelKept = time.Minute
)

// Beginning is a stream that has begun at an instance.
type Beginning struct {
	ID       StreamID
	Instance string
	At       time.Duration
	// Until is when the stream can no longer be taken up.
	Until time.Duration
}

// label is the version that the list last gave an instance.
type label struct {
	version string
	seen    time.Duration
}

// Relabelled is an instance to which the list gives another version than before.
type Relabelled struct {
	Former string
	// Doubtful are the streams of which it is not known which version began them.
	Doubtful []Beginning
}

// Labels remembers the listed versions of instances and the streams that have begun there lately.
type Labels struct {
	// recent is ordered by time, oldest first.
	recent []Beginning
	labels map[string]label
}

// Begun notes a stream that has begun.
func (l *Labels) Begun(b Beginning) {
	first := 0
	for first < len(l.recent) && l.recent[first].At < b.At-RelabelWindow {
		first++
	}
	l.recent = append(l.recent[first:], b)
}

// Listed notes the version of a listed instance, and returns what follows if it has changed,
// otherwise nil.
func (l *Labels) Listed(now time.Duration, instance, version string) *Relabelled {
	if l.labels == nil {
		l.labels = make(map[string]label)
	}
	known, ok := l.labels[instance]
	l.labels[instance] = label{version, now}
	if !ok || known.version == version {
		return nil
	}
	changed := &Relabelled{Former: known.version}
	for _, b := range l.recent {
		if b.Instance == instance && b.At >= now-RelabelWindow {
			changed.Doubtful = append(changed.Doubtful, b)
		}
	}
	return changed
}

// Expire forgets instances that have not been listed for a while.
func (l *Labels) Expire(now time.Duration) {
	for instance, known := range l.labels {
		if now-known.seen > labelKept {
			delete(l.labels, instance)
		}
	}
}
