package usage

import (
	"maps"
	"slices"
	"testing"
	"time"
)

const window = 5 * time.Second

func at(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Counts of several entries must be summed, and counts that are sent again must
// replace the earlier ones.
func TestLedgerAddsUpSources(t *testing.T) {
	counter := NewCounter(window)
	counter.Add(at(100), "heirs")
	counter.Add(at(104.9), "heirs")
	counter.Add(at(105), "heirs")
	ledger := NewLedger(window, at(100))
	for range 2 {
		for number, counts := range counter.Recent() {
			ledger.SetCounts(Source{"edge-1", 1}, number, counts)
		}
	}
	ledger.SetCounts(Source{"edge-2", 1}, 20, Counts{"heirs": 3, "clerks": 1})
	if _, ok := ledger.Due(at(107)); ok {
		t.Fatal("a window was reported before the settle time")
	}
	report, ok := ledger.Due(at(107.5))
	if !ok || report.Window != 20 || !maps.Equal(report.Counts, Counts{"heirs": 5, "clerks": 1}) {
		t.Fatalf("got report %v, due %t, expected window 20 with 5 calls of heirs and 1 of clerks", report, ok)
	}
}

// A window whose report may not have arrived must be reported again with the same
// counts, even if other counts have arrived since.
func TestReportNeverChanges(t *testing.T) {
	ledger := NewLedger(window, at(100))
	ledger.SetCounts(Source{"edge-1", 1}, 20, Counts{"heirs": 1})
	first, _ := ledger.Due(at(108))
	ledger.SetCounts(Source{"edge-2", 1}, 20, Counts{"heirs": 9})
	second, ok := ledger.Due(at(109))
	if !ok || !maps.Equal(first.Counts, second.Counts) {
		t.Fatalf("second report %v, expected the same counts as in %v", second, first)
	}
	ledger.Done(20)
	if _, ok := ledger.Due(at(110)); ok {
		t.Error("a window was reported again after it was accepted")
	}
}

// A new leader must report the windows that the previous one may not have reported,
// and none whose deadline has passed.
func TestNewLeaderReportsRecentWindows(t *testing.T) {
	ledger := NewLedger(window, at(125))
	for _, number := range []uint64{18, 21, 23} {
		ledger.SetCounts(Source{"edge-1", 1}, number, Counts{"heirs": number})
	}
	var reported []uint64
	for now := at(125); now < at(130); now += at(0.5) {
		if report, ok := ledger.Due(now); ok {
			reported = append(reported, report.Window)
			ledger.Done(report.Window)
		}
	}
	if !slices.Equal(reported, []uint64{21, 23}) {
		t.Errorf("reported windows %v, expected 21 and 23", reported)
	}
}

func TestCounterForgetsOldWindows(t *testing.T) {
	counter := NewCounter(window)
	for i := range 100 {
		counter.Add(at(float64(i)*5), "heirs")
	}
	if n := len(counter.Recent()); n > keepWindows+1 {
		t.Errorf("%d windows are kept, more than keepWindows and the current one", n)
	}
}
