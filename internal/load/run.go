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

// ErrFaults is returned when an answer was wrong, a booking ran twice or not
// at all, or a request that was said not to have run did run.
var ErrFaults = errors.New("load: faults were seen")

// Run sends traffic, prints the result to out and returns an error that wraps
// ErrFaults if something was seen that must never be.
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
			ErrFaults, result.All.Wrong, result.Doubled, result.Missing, result.Lies)
	}
	if opts.FailBroken && result.All.Broken > 0 {
		return fmt.Errorf("%w: broken %d", ErrFaults, result.All.Broken)
	}
	return nil
}

// Measure sends traffic and returns what it showed. When ctx ends, no more
// requests are sent, and those in flight are finished.
func Measure(ctx context.Context, opts Options) (*Result, error) {
	if err := opts.Validate(); err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	perHour, err := priceHour(opts)
	if err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	checks := newAudit(opts)
	if err := checks.start(); err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	watching, stop := context.WithCancel(context.Background())
	var watcher sync.WaitGroup
	watcher.Go(func() { checks.watch(watching) })

	start := time.Now()
	collected := newCollector(opts)
	sendAll(ctx, opts, start, collected)
	elapsed := time.Since(start)

	stop()
	watcher.Wait()
	collected.result.Unaudited = checks.finish()
	result := collected.finish(checks)
	result.Seed = opts.Seed
	result.RatePerSecond = opts.Rate
	result.DurationSeconds = elapsed.Seconds()
	if opts.Platform != "" {
		perHour = checks.perHour()
	}
	result.price(perHour, elapsed)
	return result, nil
}

// sendAll sends each request when it is due, and waits for all outcomes.
func sendAll(ctx context.Context, opts Options, start time.Time, collected *collector) {
	from := newSender(opts)
	defer from.client.CloseIdleConnections()
	draws := newTraffic(opts)
	free := make(chan struct{}, opts.MaxInFlight)
	var inFlight sync.WaitGroup
	launch := func(r *request) {
		collected.result.Offered++
		select {
		case free <- struct{}{}:
		default:
			collected.notSent()
			return
		}
		inFlight.Go(func() {
			defer func() { <-free }()
			o := from.send(context.Background(), r, start.Add(r.at))
			collected.add(&o)
		})
	}
	for r := draws.next(); r != nil; r = draws.next() {
		if !wait(ctx, time.Until(start.Add(r.at))) {
			break
		}
		launch(r)
		if r.twin != nil {
			launch(r)
		}
	}
	inFlight.Wait()
}
