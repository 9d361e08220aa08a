package tiertest

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/cockroachdb/errors"
)

// The ports of every machine, as offsets from the block's base port: the settings name the same ports everywhere.
const (
	controlPort = iota
	frontPort
	readyPort
	firstPeerPort
	lastPeerPort = firstPeerPort + 4
	portCount    = lastPeerPort + 1
)

const (
	lowestPort       = 12000 // below the ephemeral ports of the system
	highestPort      = 30000
	reservingMachine = 254 // its ports are listened on as long as the block is claimed
	claimAttempts    = 64
)

// addressBlock is a network of loopback addresses, 127.X.Y.0/24, with a range of ports, that one tier has to itself.
type addressBlock struct {
	x, y, basePort int
	reserved       []net.Listener
}

// claimAddressBlock draws a block at random and reserves it against other tiers on this machine. The caller releases it.
func claimAddressBlock() (*addressBlock, error) {
	var last error
	for range claimAttempts {
		b := &addressBlock{x: 64 + rand.IntN(128), y: rand.IntN(256)}
		b.basePort = lowestPort + rand.IntN((highestPort-lowestPort)/portCount)*portCount
		if last = b.reserve(); last == nil {
			return b, nil
		}
		b.release()
	}
	return nil, errors.Wrap(last, "no block of loopback addresses has its ports free: end what listens on 127.*")
}

func (b *addressBlock) reserve() error {
	for port := range portCount {
		listener, err := net.Listen("tcp4", b.addr(b.ip(reservingMachine), port))
		if err != nil {
			return err
		}
		b.reserved = append(b.reserved, listener)
	}
	return nil
}

func (b *addressBlock) release() {
	for _, listener := range b.reserved {
		listener.Close()
	}
}

// ip returns the address of a machine, numbered from 1.
func (b *addressBlock) ip(machine int) string {
	return fmt.Sprintf("127.%d.%d.%d", b.x, b.y, machine)
}

// addr returns HOST:PORT for one of the ports above.
func (b *addressBlock) addr(ip string, port int) string {
	return net.JoinHostPort(ip, strconv.Itoa(b.basePort+port))
}
