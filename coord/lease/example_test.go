package lease_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	"sassafrasnotch.example/coord/lease"
	"sassafrasnotch.example/coord/store"
)

// A second host takes over a lease after the first has stopped renewing, and a late write of
// the first fails. The caller provides the clock and the table.
func Example() {
	ctx := context.Background()
	table := store.NewMemory()
	row := func(key string) store.Row {
		found, err := table.Get(ctx, key)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			panic(err)
		}
		return found
	}
	step := func(c *lease.Candidate, now time.Duration) lease.Kind {
		rows := lease.Rows{Lease: row(lease.Key("orders")), Fence: row(lease.FenceKey("orders"))}
		decision, err := c.Decide(rows, now)
		if err != nil {
			panic(err)
		}
		if len(decision.Writes) > 0 {
			_ = table.Txn(ctx, decision.Compares, decision.Writes) // the rows read next show whether it took effect
		}
		return decision.Kind
	}
	const term = 3 * time.Second
	first, second := lease.New("orders", "host-1", term), lease.New("orders", "host-2", term)
	fmt.Println("host-1:", step(first, 0))
	fmt.Println("host-1:", step(first, time.Second))
	fmt.Println("host-2:", step(second, time.Second))
	fmt.Println("host-2:", step(second, 5*time.Second)) // host-1 is paused
	late := []store.Write{{Key: "move/orders", Value: []byte(`{}`)}}
	fmt.Println("late:", errors.Is(table.Txn(ctx, []store.Compare{first.Compare()}, late), store.ErrConflict))
	fmt.Println("host-1:", step(first, 6*time.Second))
	// Output:
	// host-1: acquire
	// host-1: renew
	// host-2: wait
	// host-2: acquire
	// late: true
	// host-1: lost
}
