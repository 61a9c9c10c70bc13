package claim

import "sassafrasnotch.example/coord/store"

// MaxBatchRows bounds the rows that one transaction writes.
const MaxBatchRows = 64

// Batch collects writes to different rows into one transaction.
type Batch struct {
	Compares []store.Compare
	Writes   []store.Write
	rows     map[string]bool
}

// Add adds a write of a row that must still have the version. It returns false,
// and adds nothing, if the batch is full or has a write of the row already.
func (b *Batch) Add(version uint64, write store.Write) bool {
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
