// Package standin defines the output that the stand-ins of the platform, the targets and the
// callers have in common. The stand-ins are used for tests and measurements only.
package standin

import "sassafrasnotch.example/mesh/standin/targetserver"

// Ready is the line of JSON that a stand-in process writes to its standard output once it
// listens.
type Ready struct {
	// Listen is the address of the service, Control that of the control endpoints.
	Listen  string `json:"listen"`
	Control string `json:"control,omitempty"`
}

// DrainReport is the line of JSON that a target process writes to its standard error after its
// drain.
type DrainReport struct {
	ExecutionRecords []targetserver.ExecutionRecord `json:"witness"`
}
