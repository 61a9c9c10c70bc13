package peer

import (
	"errors"
	"fmt"
	"net"
	"time"

	"sassafrasnotch.example/mesh/peer/peerpb"
)

const handshakeTimeout = time.Second

// greet exchanges Hello frames as the dialing side and checks that the host
// asked for answered.
func dialHandshake(conn net.Conn, self Identity, host string, carries peerpb.StreamKind) (Identity, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return Identity{}, stepError(ErrHandshake, "set deadline", host, err)
	}
	if _, err := writeFrame(conn, self.hello(carries), maxHelloFrame); err != nil {
		return Identity{}, stepError(ErrHandshake, "send hello", host, err)
	}
	remote, _, err := readHello(conn, host)
	if err != nil {
		return Identity{}, err
	}
	if remote.Host != host {
		cause := fmt.Errorf("host %q answered", remote.Host)
		return Identity{}, stepError(ErrHandshake, "check identity", host, cause)
	}
	return remote, conn.SetDeadline(time.Time{})
}

// welcome exchanges Hello frames as the accepting side and returns what the
// connection carries. It sends its own Hello even to what it refuses, so that
// the other end can tell why.
func acceptHandshake(conn net.Conn, self Identity) (Identity, peerpb.StreamKind, error) {
	address := conn.RemoteAddr().String()
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return Identity{}, 0, stepError(ErrHandshake, "set deadline", address, err)
	}
	remote, carries, readErr := readHello(conn, address)
	_, sendErr := writeFrame(conn, self.hello(carries), maxHelloFrame)
	if readErr != nil {
		return Identity{}, 0, readErr
	}
	if sendErr != nil {
		return Identity{}, 0, stepError(ErrHandshake, "send hello", address, sendErr)
	}
	return remote, carries, conn.SetDeadline(time.Time{})
}

func readHello(conn net.Conn, peer string) (Identity, peerpb.StreamKind, error) {
	var hello peerpb.Hello
	if err := readFrame(byteReader{conn}, &hello, maxHelloFrame); err != nil {
		return Identity{}, 0, stepError(ErrHandshake, "read hello", peer, err)
	}
	if hello.Protocol != ProtocolVersion {
		cause := fmt.Errorf("protocol %d, want %d", hello.Protocol, ProtocolVersion)
		return Identity{}, 0, stepError(ErrHandshake, "check protocol", peer, cause)
	}
	if hello.Host == "" {
		cause := errors.New("the hello names no host")
		return Identity{}, 0, stepError(ErrHandshake, "check identity", peer, cause)
	}
	identity := Identity{Host: hello.Host, Zone: hello.Zone, Incarnation: hello.Incarnation}
	return identity, hello.Carries, nil
}
