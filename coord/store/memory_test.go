package store_test

import (
	"testing"

	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/coord/store/storetest"
)

func TestMemoryKeepsTheContract(t *testing.T) {
	storetest.Run(t, func(*testing.T) store.Store { return store.NewMemory() })
}
