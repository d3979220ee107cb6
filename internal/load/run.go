package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"
)

// ErrFaults means that an answer was wrong, a booking ran twice or did not run
// although it was answered, or a request ran that was refused with outcome not-run.
// With FailBroken, it also means that a request got neither a full answer nor a
// refusal.
var ErrFaults = errors.New("load: faults were seen")

// Run sends traffic and prints the result to out. Its error wraps ErrFaults if the
// result has faults.
func Run(ctx context.Context, opts Options, out io.Writer) error {
	result, err := Measure(ctx, opts)
	if err != nil {
		return err
	}
	if opts.JSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		err = encoder.Encode(result)
	} else {
		err = result.Print(out)
	}
	if err != nil {
		return fmt.Errorf("load: print: %w", err)
	}
	if result.Faults() > 0 {
		return fmt.Errorf("%w: wrong %d, doubled %d, missing %d, not-run that ran %d",
			ErrFaults, result.All.Wrong, result.Doubled, result.Missing, result.FalseNotRuns)
	}
	if opts.FailBroken && result.All.Broken > 0 {
		return fmt.Errorf("%w: broken %d", ErrFaults, result.All.Broken)
	}
	return nil
}

// Measure sends traffic and returns the result. When ctx ends, it sends no more
// requests and waits for those in flight.
func Measure(ctx context.Context, opts Options) (*Result, error) {
	if err := opts.Validate(); err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	pricePerHour, err := configuredPricePerHour(opts)
	if err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	auditor := newAudit(opts)
	if err := auditor.start(); err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	watchCtx, stopWatching := context.WithCancel(context.Background())
	var watcher sync.WaitGroup
	watcher.Go(func() { auditor.watch(watchCtx) })

	start := time.Now()
	outcomes := newCollector(opts)
	sendAll(ctx, opts, start, outcomes)
	elapsed := time.Since(start)

	stopWatching()
	watcher.Wait()
	outcomes.result.Unaudited = auditor.finish()
	result := outcomes.finish(auditor)
	result.Seed = opts.Seed
	result.RatePerSecond = opts.Rate
	result.DurationSeconds = elapsed.Seconds()
	if opts.Platform != "" {
		pricePerHour = auditor.meanPricePerHour()
	}
	result.setPrice(pricePerHour, elapsed)
	return result, nil
}

// sendAll sends each request when it is due and waits for all outcomes. A request
// that is due while MaxInFlight others are in flight is not sent.
func sendAll(ctx context.Context, opts Options, start time.Time, outcomes *collector) {
	s := newSender(opts)
	defer s.client.CloseIdleConnections()
	requests := newTraffic(opts)
	inFlightLimit := make(chan struct{}, opts.MaxInFlight)
	var inFlight sync.WaitGroup
	launch := func(r *request) {
		outcomes.result.Offered++
		select {
		case inFlightLimit <- struct{}{}:
		default:
			outcomes.notSent()
			return
		}
		inFlight.Go(func() {
			defer func() { <-inFlightLimit }()
			o := s.send(context.Background(), r, start.Add(r.dueAfter))
			outcomes.add(&o)
		})
	}
	for r := requests.next(); r != nil; r = requests.next() {
		if !wait(ctx, time.Until(start.Add(r.dueAfter))) {
			break
		}
		launch(r)
		if r.pair != nil {
			launch(r)
		}
	}
	inFlight.Wait()
}
