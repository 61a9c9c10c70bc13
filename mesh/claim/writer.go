package claim

import (
	"context"
	"sync"
	"time"

	"sassafrasnotch.example/coord/claim"
	"sassafrasnotch.example/coord/store"
)

const (
	// batchInterval is the time for which a write is held back to share a transaction with later ones.
	batchInterval = 20 * time.Millisecond
	// writeTimeout bounds the duration of one transaction.
	writeTimeout = 5 * time.Second
)

// writer batches conditional writes of rows into transactions.
type writer struct {
	table    store.Table
	interval time.Duration // from the first queued write to the flush

	mutex sync.Mutex
	queue []*pendingWrite
}

// pendingWrite is a queued write on the condition that the row still has the version.
type pendingWrite struct {
	version store.Position
	write   store.Write
	result  chan error // buffered, receives one value
}

func newWriter(table store.Table, interval time.Duration) *writer {
	return &writer{table: table, interval: interval}
}

// submit queues a write on the condition that the row still has the version. The channel receives
// nil or one of the errors of store.Table.
func (w *writer) submit(version store.Position, write store.Write) <-chan error {
	pending := &pendingWrite{version: version, write: write, result: make(chan error, 1)}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.queue = append(w.queue, pending)
	if len(w.queue) == 1 {
		time.AfterFunc(w.interval, w.flush)
	}
	return pending.result
}

// flush writes all queued writes in as few transactions as they fit into.
func (w *writer) flush() {
	w.mutex.Lock()
	remaining := w.queue
	w.queue = nil
	w.mutex.Unlock()
	for len(remaining) > 0 {
		remaining = w.startBatch(remaining)
	}
}

// startBatch commits as many of the writes as fit into one transaction, in a goroutine of its own,
// and returns the others.
func (w *writer) startBatch(writes []*pendingWrite) (remaining []*pendingWrite) {
	batch := new(claim.Batch)
	var added []*pendingWrite
	for _, pending := range writes {
		if batch.Add(pending.version, pending.write) {
			added = append(added, pending)
		} else {
			remaining = append(remaining, pending)
		}
	}
	go w.commit(batch, added)
	return remaining
}

// commit writes a batch. If one of several rows conflicts, each row is written in a transaction of
// its own, so that one conflict fails no other write.
func (w *writer) commit(batch *claim.Batch, writes []*pendingWrite) {
	err := w.transact(batch)
	if err == nil || len(writes) == 1 || !isConflict(err) {
		for _, pending := range writes {
			pending.result <- err
		}
		return
	}
	for _, pending := range writes {
		single := new(claim.Batch)
		single.Add(pending.version, pending.write)
		pending.result <- w.transact(single)
	}
}

// transact writes a batch in one transaction, within writeTimeout.
func (w *writer) transact(batch *claim.Batch) error {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	return w.table.Txn(ctx, batch.Compares, batch.Writes)
}
