package settings

import (
	"time"

	"sassafrasnotch.example/coord/revision"
)

const (
	mebibyte          = 1 << 20 // bytes
	tlsReloadInterval = revision.Duration(time.Minute)
)

// DefaultKeysValidWithin replaces Configuration.KeysValidWithin if it is 0.
const DefaultKeysValidWithin = 5 * time.Second

// Default returns the values of the settings that a file may omit. Fields without a default keep
// their zero value.
func Default() Settings {
	return Settings{
		Entry: Entry{
			DefaultTimeout: revision.Duration(10 * time.Second),
			MaxHeaderBytes: 64 << 10,
			MaxBodyBytes:   64 * mebibyte,
			MaxConnections: 5000,
			Retry:          Retry{Share: 0.1, Reserve: 20},
		},
		Peer: Peer{
			Keepalive:       revision.Duration(500 * time.Millisecond),
			SessionsPerPeer: 2,
			MaxStreams:      1024,
			TLS:             TLS{Reload: tlsReloadInterval},
		},
		Configuration: Configuration{
			Source:          SourceTickets,
			ApplyWithin:     revision.Duration(2 * time.Second),
			Settle:          revision.Duration(2500 * time.Millisecond),
			KeysValidWithin: revision.Duration(DefaultKeysValidWithin),
		},
		Gossip:   Gossip{Interval: revision.Duration(time.Second)},
		Admin:    Admin{TLS: TLS{Reload: tlsReloadInterval}},
		Platform: Platform{Timeout: revision.Duration(2 * time.Second), TLS: TLS{Reload: tlsReloadInterval}},
		Exit: Exit{
			AnnounceTTL:  revision.Duration(3 * time.Second),
			QueueLength:  16,
			WarmUp:       revision.Duration(5 * time.Second),
			DrainTimeout: revision.Duration(30 * time.Second),
		},
		Runtime: Runtime{GCPercent: 400},
		Log:     Log{Level: "info"},
	}
}
