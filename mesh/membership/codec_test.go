package membership

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/gossip"
)

func sampleRecord() gossip.Record {
	return gossip.Record{
		Host: "h1", Zone: "a", Region: "r", Incarnation: 7, Sequence: 3, Leaving: true,
		PeerAddress: "127.0.0.1:1", GossipAddress: "[::1]:2", AdminAddress: "",
		Targets: []gossip.Target{{Service: "desk", Version: "v1", Slots: 4, State: gossip.TargetCold}},
	}
}

func sampleMessages() []gossip.Message {
	from := gossip.Sender{Host: "h0", Zone: "a", Address: "127.0.0.1:9"}
	bodies := []gossip.Body{
		nil,
		gossip.Probe{Number: 1, Target: "h1"},
		gossip.Ack{Number: 1, Target: "h1"},
		gossip.ProbeRequest{Number: 2, Target: "h1", Address: "127.0.0.1:2"},
		gossip.RootHashes{Records: 1 << 63, Updates: 5},
		gossip.BucketHashes{Hashes: []uint32{1, 1 << 31}},
		gossip.RecordHashes{Buckets: []uint32{0, 63}, Hashes: []uint32{5, 6}},
		gossip.RecordRequest{Hashes: []uint32{8}},
		gossip.Delta{},
		gossip.SuspicionsRequest{},
		gossip.Suspicions{Keys: []uint32{9}},
	}
	var messages []gossip.Message
	for _, body := range bodies {
		messages = append(messages, gossip.Message{From: from, Revisions: gossip.Revisions{Latest: 42, Configuration: 41, Rollouts: 42}, Body: body})
	}
	full := gossip.Message{From: from, Body: gossip.Delta{}, Records: []gossip.Record{sampleRecord()}}
	full.Claims = []gossip.Claim{{Host: "h2", Incarnation: 1, Sequence: 2, Dead: true}}
	full.Updates = []gossip.Update{
		{Host: "h1", TTL: time.Second, Crash: &gossip.Crash{Fingerprint: 1 << 60, Number: 7}},
		{Host: "h1", TTL: time.Second, Halt: &gossip.Halt{Service: "desk", Version: "v2", Ticket: 5}},
		{Host: "h1", TTL: time.Second, Unreachable: &gossip.Unreachable{Zone: "b"}},
	}
	return append(messages, full)
}

// A message must be equal after encoding and decoding, and its encoding not exceed Message.Size.
func TestCodecKeepsMessages(t *testing.T) {
	for _, message := range sampleMessages() {
		is := is.New(t)
		data, err := Encode(&message)
		is.NoErr(err)
		is.True(len(data) <= message.Size())
		decoded, err := Decode(data)
		is.NoErr(err)
		is.Equal(decoded, message)
	}
}

// FuzzDecode checks that no datagram crashes the decoder or the state machine, and that an accepted
// message can be encoded and decoded again.
func FuzzDecode(f *testing.F) {
	for _, message := range sampleMessages() {
		data, err := Encode(&message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		is := is.New(t)
		message, err := Decode(data)
		if err != nil {
			return
		}
		now := time.Unix(1000, 0)
		self := gossip.Record{Host: "self", Zone: "a", GossipAddress: "127.0.0.1:1"}
		node := gossip.New(gossip.DefaultConfig(time.Second), self, 1, now)
		for range 2 {
			now = now.Add(time.Second)
			node.Receive(now, message)
			node.Tick(now)
		}
		again, err := Encode(&message)
		is.NoErr(err)
		_, err = Decode(again)
		is.NoErr(err)
	})
}
