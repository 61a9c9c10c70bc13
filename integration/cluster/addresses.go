package cluster

import (
	"testing"

	"sassafrasnotch.example/mesh/standin/loopback"
)

// Ports of the processes. Every host has its own IP address, so all hosts use the same ports.
const (
	peerPort   = 7000 // TCP, and UDP for gossip
	adminPort  = 7001
	entryPort  = 7002
	targetPort = 7010 // lowest port of the targets
)

const (
	platformSubnet = 200 // third octet of the IP address of the platform stand-in
	proxyOffset    = 100 // added to the third octet of a host's IP address to get that of its proxy
)

// reserveBlock reserves a free block of loopback addresses for the duration of the test.
func reserveBlock(t testing.TB) *loopback.Block {
	t.Helper()
	block, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(block.Release)
	return block
}
