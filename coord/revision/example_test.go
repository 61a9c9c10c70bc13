package revision_test

import (
	"context"
	"fmt"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/store"
)

// A writer appends a change to the log in the store, and a reader catches up with it.
func ExampleLog() {
	ctx := context.Background()
	backing := store.NewMemory()
	writer, reader := revision.NewLog(backing), revision.NewLog(backing)
	written, _, err := writer.Append(ctx, revision.Empty(), "host-1/1", func(*revision.Snapshot) (revision.Draft, error) {
		return revision.Draft{Put: []revision.Resource{
			{Service: &revision.Service{Name: "orders"}},
			{Version: &revision.Version{Service: "orders", Name: "v1"}},
		}}, nil
	})
	if err != nil {
		panic(err)
	}
	read, changes, err := reader.CatchUp(ctx, revision.Empty())
	if err != nil {
		panic(err)
	}
	_, found := read.Version("orders", "v1")
	fmt.Println(read.Revision(), len(changes), found, read.Hash() == written.Hash())
	// Output: 1 1 true true
}
