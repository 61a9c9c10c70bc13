package exit

import (
	"bytes"
	"net"
)

// Fingerprint exposes requestFingerprint to tests.
var Fingerprint = requestFingerprint

// dataConn is a connection on which the data has arrived, and then its end.
type dataConn struct {
	net.Conn
	*bytes.Reader
}

func (c dataConn) Read(p []byte) (int, error) { return c.Reader.Read(p) }

// ReceiveStatus returns the status of the final response in the data as a connection to a target reads it.
func ReceiveStatus(data []byte) (int, error) {
	response, err := newTargetConn(dataConn{Reader: bytes.NewReader(data)}).receive(nil)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, nil
}
