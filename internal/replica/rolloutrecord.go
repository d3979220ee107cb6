package replica

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"waxwingcart/internal/core/replication"
	"waxwingcart/internal/core/rollout"
	"waxwingcart/internal/core/state"
)

const (
	// rolloutCustomer is the customer and service of the records that hold the roll-outs. It can't be a
	// customer's name, as names must not contain a slash.
	rolloutCustomer = "/rollout"
	// dayMS is the length of a day in milliseconds. The records of each day are numbered from 1.
	dayMS = 24 * 60 * 60 * 1_000
	// rolloutDays is the number of days, up to the present one, in which records are looked for. Records
	// are dropped by a leader only, which first writes the table again, so that they can be older than
	// their retention after a long time without one.
	rolloutDays = 400
	// maxRolloutsPerDay bounds the records of a day.
	maxRolloutsPerDay = 10_000
)

var (
	errRolloutsChanged = errors.New("the roll-outs were changed meanwhile")
	errManyRollouts    = errors.New("too many roll-outs in one day")
)

// rolloutStore keeps the table of roll-outs in idempotency records, so that replicas of the previous
// version can read the log. Each change is a new record with the whole table. A record keeps the
// first content that is committed for it, so that of two changes of one table one is refused. The
// callers make one call at a time.
type rolloutStore struct {
	replica *Replica
	// day and number identify the record with the latest table, zero if there is none.
	day    int64
	number int
}

func rolloutKey(day int64, number int) state.Key {
	return state.Key{Customer: rolloutCustomer, Service: rolloutCustomer, Key: fmt.Sprintf("%d-%d", day, number)}
}

// load returns the committed table and the agreed time of the log, after a quorum has confirmed that this
// replica leads.
func (s *rolloutStore) load(ctx context.Context) (rollout.Table, int64, error) {
	table, day, number, agreed, err := s.replica.readRollouts(ctx)
	if err == nil {
		s.day, s.number = day, number
	}
	return table, agreed, err
}

// readRollouts returns the committed table, the day and the number of its record, and the agreed time.
func (r *Replica) readRollouts(ctx context.Context) (table rollout.Table, day int64, number int, agreed int64, err error) {
	if _, err := r.await(ctx, replication.Read{}); err != nil {
		return table, 0, 0, 0, err
	}
	var content *state.Answer
	err = r.runInLoop(ctx, func() {
		agreed = r.machine.TimeMS()
		day, number, content = r.latestRollouts(max(agreed, time.Now().UnixMilli())/dayMS + 1)
	})
	if err != nil || content == nil {
		return table, day, number, agreed, err
	}
	if err := json.Unmarshal(content.Body, &table); err != nil {
		return table, day, number, agreed, fmt.Errorf("decode roll-outs: %w", err)
	}
	return table, day, number, agreed, nil
}

// latestRollouts returns the content of the latest record, and the day and the number of the last one of its day. It must be called in the event loop.
func (r *Replica) latestRollouts(today int64) (int64, int, *state.Answer) {
	for day := today; day > today-rolloutDays; day-- {
		var latest *state.Answer
		number := 0
		for n := 1; n <= maxRolloutsPerDay; n++ {
			record := r.machine.Lookup(rolloutKey(day, n))
			if record.State != state.RecordAnswered {
				break
			}
			number = n
			// A record that was truncated, as the records took too much memory, was refused.
			if !record.Answer.Truncated {
				latest = record.Answer
			}
		}
		if latest != nil {
			return day, number, latest
		}
	}
	return 0, 0, nil
}

// save commits a table in place of the one that was loaded or saved last.
func (s *rolloutStore) save(ctx context.Context, table rollout.Table) error {
	day, number := time.Now().UnixMilli()/dayMS, 1
	if day <= s.day {
		day, number = s.day, s.number+1
	}
	if number > maxRolloutsPerDay {
		return errManyRollouts
	}
	content, err := json.Marshal(table)
	if err != nil {
		return fmt.Errorf("encode roll-outs: %w", err)
	}
	if err := s.replica.commitRollouts(ctx, rolloutKey(day, number), content); err != nil {
		return err
	}
	s.day, s.number = day, number
	return nil
}

// commitRollouts commits the content of a record, or returns errRolloutsChanged if it has another one. All
// leaders use the same owner, so that a new leader can complete the record that another one reserved.
func (r *Replica) commitRollouts(ctx context.Context, key state.Key, content []byte) error {
	owner := state.Owner{VM: rolloutCustomer, Incarnation: 1}
	reserve := state.Reserve{Key: key, Owner: owner, RequestID: "rollouts-" + key.Key, RetentionMS: state.MaxRetentionMS}
	record, err := r.rolloutRecord(ctx, reserve)
	if err != nil {
		return err
	}
	if record.State == state.RecordReserved {
		answer := &state.Answer{Status: http.StatusOK, Body: content}
		if _, err := r.propose(ctx, state.RecordOutcome{Key: key, Owner: owner, RequestID: reserve.RequestID, State: state.RecordAnswered, Answer: answer}); err != nil {
			return fmt.Errorf("commit roll-outs: %w", err)
		}
		if record, err = r.rolloutRecord(ctx, reserve); err != nil {
			return err
		}
	}
	if record.Answer == nil || string(record.Answer.Body) != string(content) {
		return errRolloutsChanged
	}
	return nil
}

// rolloutRecord returns a record, and reserves it if there is none.
func (r *Replica) rolloutRecord(ctx context.Context, reserve state.Reserve) (state.RecordView, error) {
	applied, err := r.propose(ctx, reserve)
	if err != nil {
		return state.RecordView{}, fmt.Errorf("reserve %s: %w", reserve.RequestID, err)
	}
	result, ok := applied.(state.ReserveResult)
	if !ok || result.Full {
		return state.RecordView{}, fmt.Errorf("reserve %s: not applied, full: %t", reserve.RequestID, result.Full)
	}
	return result.Record, nil
}

// renewRollouts writes the table again, unless it was written today, so that it outlives the retention of
// its records.
func (r *Replica) renewRollouts(ctx context.Context) error {
	return r.rollouts.Renew(ctx, func(ctx context.Context) error {
		table, _, err := r.rolloutStore.load(ctx)
		if err != nil || len(table.Rollouts) == 0 || r.rolloutStore.day >= time.Now().UnixMilli()/dayMS {
			return err
		}
		return r.rolloutStore.save(ctx, table)
	})
}
