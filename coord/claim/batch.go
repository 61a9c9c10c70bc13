package claim

import "sassafrasnotch.example/coord/store"

// MaxBatchRows bounds the rows that one transaction of the store writes.
const MaxBatchRows = 64

// Batch collects writes to different rows for one transaction of the store. The zero value is
// an empty batch.
type Batch struct {
	// Compares holds the condition on each row of Writes, in the same order.
	Compares []store.Compare
	Writes   []store.Write
	rows     map[string]bool
}

// Add adds a write on the condition that the row still has the version. It returns false and
// adds nothing if the batch is full or already has a write of the row.
func (b *Batch) Add(version store.Position, write store.Write) bool {
	if len(b.Writes) >= MaxBatchRows || b.rows[write.Key] {
		return false
	}
	if b.rows == nil {
		b.rows = make(map[string]bool)
	}
	b.rows[write.Key] = true
	b.Compares = append(b.Compares, store.Compare{Key: write.Key, Version: version})
	b.Writes = append(b.Writes, write)
	return true
}
