// Package loopback reserves blocks of loopback addresses, so that each host of a test or a
// demonstration has its own address.
package loopback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
)

const (
	minBlock        = 10
	endBlock        = 250
	maxAttempts     = 64
	lockPort        = 6999
	lockThirdOctet  = 255
	lockFourthOctet = 254
)

// ErrNoBlock means that Reserve found no free block.
var ErrNoBlock = errors.New("loopback: no free /16 block of addresses")

// Block is a reserved /16 block of the loopback network. A listener on one of its addresses
// serves as the lock against other processes.
type Block struct {
	secondOctet int
	lock        net.Listener
}

// Reserve reserves a random block that no other process has reserved. It returns ErrNoBlock
// after 64 attempts.
func Reserve() (*Block, error) {
	for range maxAttempts {
		block := &Block{secondOctet: minBlock + rand.IntN(endBlock-minBlock)}
		lock, err := net.Listen("tcp", Endpoint(block.IP(lockThirdOctet, lockFourthOctet), lockPort))
		if err != nil {
			continue
		}
		block.lock = lock
		return block, nil
	}
	return nil, ErrNoBlock
}

// Release releases the block.
func (b *Block) Release() { _ = b.lock.Close() }

// IP returns the address of the block with the given third and fourth octets.
func (b *Block) IP(third, fourth int) string {
	return fmt.Sprintf("127.%d.%d.%d", b.secondOctet, third, fourth)
}

// Endpoint joins an address and a port.
func Endpoint(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
