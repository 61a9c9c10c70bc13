// Package standin holds what the stand-ins of the platform, the targets and the
// callers have in common. They serve tests and measurements only.
package standin

import "sassafrasnotch.example/mesh/standin/targetserver"

// Ready is the line of JSON that a stand-in process writes to its standard
// output once it listens.
type Ready struct {
	// Listen is the address of the service, Control the one of its switches.
	Listen  string `json:"listen"`
	Control string `json:"control,omitempty"`
}

// DrainReport is the line of JSON that a target writes to its standard error once it
// has drained.
type DrainReport struct {
	ExecutionRecords []targetserver.ExecutionRecord `json:"witness"`
}
