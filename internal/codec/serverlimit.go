package codec

import (
	"math"
	"time"

	"waxwingcart/internal/core/serverlimit"
	"waxwingcart/internal/wire"
)

// LimitReportToWire converts an entry's report on the servers that have named a limit.
func LimitReportToWire(now time.Duration, report serverlimit.Report) []*wire.ServerLimit {
	var list []*wire.ServerLimit
	for instance, word := range report.Words {
		limit := limitToWire(now, instance, word)
		limit.Wanted, limit.Back = uint32(report.Wanted[instance]), uint32(report.Back[instance])
		list = append(list, limit)
	}
	return list
}

// LimitReportFromWire is the inverse of LimitReportToWire.
func LimitReportFromWire(now time.Duration, list []*wire.ServerLimit) serverlimit.Report {
	report := serverlimit.Report{Words: make(map[string]serverlimit.Word), Wanted: make(map[string]int), Back: make(map[string]int)}
	for _, limit := range list {
		word, ok := limitFromWire(now, limit)
		if !ok {
			continue
		}
		report.Words[limit.Instance] = word
		report.Wanted[limit.Instance], report.Back[limit.Instance] = requests(limit.Wanted), requests(limit.Back)
	}
	return report
}

// LimitGrantToWire converts the leader's answer.
func LimitGrantToWire(now time.Duration, grant serverlimit.Grant) []*wire.ServerLimit {
	var list []*wire.ServerLimit
	for instance, word := range grant.Words {
		limit := limitToWire(now, instance, word)
		limit.Granted = uint32(grant.Granted[instance])
		limit.WaitMs = uint64(grant.Wait[instance].Milliseconds())
		list = append(list, limit)
	}
	return list
}

// LimitGrantFromWire is the inverse of LimitGrantToWire.
func LimitGrantFromWire(now time.Duration, list []*wire.ServerLimit) serverlimit.Grant {
	grant := serverlimit.Grant{Words: make(map[string]serverlimit.Word), Granted: make(map[string]int), Wait: make(map[string]time.Duration)}
	for _, limit := range list {
		if word, ok := limitFromWire(now, limit); ok {
			grant.Words[limit.Instance] = word
			grant.Granted[limit.Instance] = requests(limit.Granted)
			grant.Wait[limit.Instance] = relative(limit.WaitMs)
		}
	}
	return grant
}

func limitToWire(now time.Duration, instance string, word serverlimit.Word) *wire.ServerLimit {
	return &wire.ServerLimit{
		Instance: instance, PerSecond: word.PerSecond, Brittle: word.Brittle,
		SentAgoMs: uint64(max(now-word.Sent, 0).Milliseconds()), ReadAgoMs: uint64(max(now-word.Read, 0).Milliseconds()),
	}
}

// limitFromWire returns false for a limit that no server can have named.
func limitFromWire(now time.Duration, limit *wire.ServerLimit) (serverlimit.Word, bool) {
	word := serverlimit.Word{PerSecond: limit.PerSecond, Brittle: limit.Brittle, Sent: now - relative(limit.SentAgoMs), Read: now - relative(limit.ReadAgoMs)}
	return word, limit.Instance != "" && limit.PerSecond >= 0 && !math.IsInf(limit.PerSecond, 0)
}

// maxRequests bounds the requests that another process wants, returns or grants at once.
const maxRequests = 1 << 16

func requests(n uint32) int { return int(min(n, maxRequests)) }
