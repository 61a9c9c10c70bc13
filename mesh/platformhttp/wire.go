package platformhttp

import "sassafrasnotch.example/coord/store"

// Paths of the service. Keys travel in the query so that they may hold slashes.
const (
	PathRows    = "/v1/rows"    // GET ?key=: a store.Row
	PathScan    = "/v1/scan"    // GET ?prefix=&after=&limit=: Rows
	PathTxn     = "/v1/txn"     // POST a Txn: 204
	PathObjects = "/v1/objects" // GET, PUT, DELETE ?key=: the data itself
)

// Query parameters of the service.
const (
	ParamKey    = "key"
	ParamPrefix = "prefix"
	ParamAfter  = "after"
	ParamLimit  = "limit"
)

// Rows is the answer to a scan.
type Rows struct {
	Rows []store.Row `json:"rows"`
}

// Txn is a transaction.
type Txn struct {
	Compares []store.Compare `json:"compares"`
	Writes   []store.Write   `json:"writes"`
}

// Code tells the service's own answers from those of anything in between, so
// that a 404 from a wrong address is never read as an absent row.
type Code string

// The codes of failed operations.
const (
	CodeNotFound    Code = "not-found"
	CodeConflict    Code = "conflict"
	CodeUnavailable Code = "unavailable"
	CodeMalformed   Code = "malformed"
)

// Failure is the body of an answer with a status of 400 and above.
type Failure struct {
	Code    Code   `json:"code"`
	Message string `json:"message,omitempty"`
}
