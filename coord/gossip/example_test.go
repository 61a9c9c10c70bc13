package gossip_test

import (
	"fmt"
	"time"

	"sassafrasnotch.example/coord/gossip"
)

// Two nodes find each other through a seed. The caller owns the clock and the
// transport: here a map from address to node.
func Example() {
	now := time.Unix(0, 0)
	start := func(host, address string, seeds ...string) *gossip.Node {
		self := gossip.Record{Host: host, Zone: "a", Incarnation: 1, GossipAddress: address}
		node := gossip.New(gossip.DefaultConfig(time.Second), self, 1, now)
		node.SetSeeds(seeds)
		return node
	}
	nodes := map[string]*gossip.Node{
		"10.0.0.1:7946": start("host-1", "10.0.0.1:7946"),
		"10.0.0.2:7946": start("host-2", "10.0.0.2:7946", "10.0.0.1:7946"),
	}
	packets := nodes["10.0.0.2:7946"].Tick(now).Packets
	for len(packets) > 0 {
		packet := packets[0]
		out := nodes[packet.To].Receive(now, packet.Message)
		packets = append(packets[1:], out.Packets...)
	}
	for _, member := range nodes["10.0.0.1:7946"].Members() {
		fmt.Println(member.Host, member.Status == gossip.Alive)
	}
	// Output:
	// host-1 true
	// host-2 true
}
