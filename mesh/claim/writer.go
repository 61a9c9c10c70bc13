package claim

import (
	"context"
	"sync"
	"time"

	"sassafrasnotch.example/coord/claim"
	"sassafrasnotch.example/coord/store"
)

const (
	// batchInterval is how long a write waits for others.
	batchInterval = 20 * time.Millisecond
	// writeTimeout bounds one transaction.
	writeTimeout = 5 * time.Second
)

// writer gathers conditional writes of rows into transactions.
type writer struct {
	table    store.Table
	interval time.Duration

	mutex   sync.Mutex
	waiting []*pendingWrite
}

// pendingWrite is a write whose result arrives on done.
type pendingWrite struct {
	version uint64
	write   store.Write
	done    chan error // with room for the result
}

func newWriter(table store.Table, interval time.Duration) *writer {
	return &writer{table: table, interval: interval}
}

// submit queues a write of a row that must still have the version. The result
// is nil or one of the errors of store.Table.
func (w *writer) submit(version uint64, write store.Write) <-chan error {
	pending := &pendingWrite{version: version, write: write, done: make(chan error, 1)}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.waiting = append(w.waiting, pending)
	if len(w.waiting) == 1 {
		time.AfterFunc(w.interval, w.flush)
	}
	return pending.done
}

// flush writes all that waits, in as few transactions as it takes.
func (w *writer) flush() {
	w.mutex.Lock()
	rest := w.waiting
	w.waiting = nil
	w.mutex.Unlock()
	for len(rest) > 0 {
		rest = w.start(rest)
	}
}

// start begins one transaction and returns the writes that did not fit.
func (w *writer) start(writes []*pendingWrite) (rest []*pendingWrite) {
	batch := new(claim.Batch)
	var taken []*pendingWrite
	for _, pending := range writes {
		if batch.Add(pending.version, pending.write) {
			taken = append(taken, pending)
		} else {
			rest = append(rest, pending)
		}
	}
	go w.commit(batch, taken)
	return rest
}

// commit writes a batch. Where a row of several conflicts, each is written by
// itself, so that one conflict fails no other write.
func (w *writer) commit(batch *claim.Batch, writes []*pendingWrite) {
	err := w.transact(batch)
	if err == nil || len(writes) == 1 || !isConflict(err) {
		for _, pending := range writes {
			pending.done <- err
		}
		return
	}
	for _, pending := range writes {
		single := new(claim.Batch)
		single.Add(pending.version, pending.write)
		pending.done <- w.transact(single)
	}
}

func (w *writer) transact(batch *claim.Batch) error {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	return w.table.Txn(ctx, batch.Compares, batch.Writes)
}
