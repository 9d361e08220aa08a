package rig

import (
	"fmt"
	"net"
	"strings"
)

// File returns an operator's file with the given partners and state folder. addr returns the address of an
// endpoint.
func File(dir string, partners []Partner, addr func(endpoint string) string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "listen = \"127.0.0.1:0\"\nstate  = %q\nstop_within = \"1s\"\nkind \"marketplace\" {\n  per_call = 5\n}\n", dir)
	for _, p := range partners {
		fmt.Fprintf(&b, "partner %q {\n  kind    = %q\n  classes = [\"%s\"]\n", p.Name, p.Kind, strings.Join(p.Classes, `", "`))
		for i, zone := range p.Zones {
			id := endpointName(p, i)
			fmt.Fprintf(&b, "  endpoint %q {\n    address = %q\n    zone    = %q\n  }\n", id, addr(id), zone)
		}
		b.WriteString("}\n")
	}
	return b.String()
}

// endpointName returns the name of a partner's endpoint in its zone with the given index.
func endpointName(p Partner, zone int) string { return fmt.Sprintf("%s-%d", p.Name, zone+1) }

// Addresses returns n free UDP addresses on loopback for the relays of a fleet. They are not reserved any more.
func Addresses(n int) (addrs []string, err error) {
	for range n {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return nil, err
		}
		defer c.Close()
		addrs = append(addrs, c.LocalAddr().String())
	}
	return addrs, nil
}

// Fleet returns the fleet block of an operator's file for the relay that has the given name and listens for its
// peers on listen. names and addrs are those of all relays of the fleet.
func Fleet(name, listen string, names, addrs []string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "fleet {\n  name   = %q\n  listen = %q\n", name, listen)
	for i, n := range names {
		fmt.Fprintf(&b, "  relay %q {\n    address = %q\n  }\n", n, addrs[i])
	}
	return b.String() + "}\n"
}
