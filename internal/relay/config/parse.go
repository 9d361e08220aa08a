package config

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"larchrouter/internal/relay/hclfile"
)

// Read reads and checks a file. Paths in it are relative to its directory.
func Read(path string) (*File, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, Faults{{File: path, Text: pathErrorText(err)}}
	}
	if info.Size() > maxFile {
		return nil, Faults{{File: path, Text: fmt.Sprintf("has %d bytes, %d at most", info.Size(), maxFile)}}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Faults{{File: path, Text: pathErrorText(err)}}
	}
	abs, err := filepath.Abs(path)
	if err != nil {
		return nil, Faults{{File: path, Text: err.Error()}}
	}
	return Parse(data, path, filepath.Dir(abs))
}

// pathErrorText returns the text of an error without the path.
func pathErrorText(err error) string {
	var p *os.PathError
	if errors.As(err, &p) {
		return p.Err.Error()
	}
	return err.Error()
}

// Parse parses and checks the contents of a file. path is used in diagnostics; relative paths in the file start at dir. The
// error is Faults, with all faults of the file.
func Parse(data []byte, path, dir string) (*File, error) {
	top, err := hclfile.Parse(data, path,
		[]string{"listen", "state", "stop_within"},
		map[string]string{"limits": "", "ends": "", "journal": "", "control": "", "rules": "", "fleet": "", "class": "name",
			"zone": "name", "kind": "name",
			"partner": "name"})
	if err != nil {
		return nil, err
	}
	f := &File{Path: path, Listen: top.Text("listen", ""),
		StopWithin: top.Span("stop_within", 10*time.Second, time.Second, time.Hour)}
	top.Need("listen", `where clients connect, such as listen = "127.0.0.1:8080"`)
	if top.Has("listen") && f.Listen != "" {
		checkAddress(top, "listen", f.Listen, 0)
	}
	f.State = absolutePath(dir, top.Text("state", "larchrouter-state"))
	f.limits(top)
	j, _ := top.One("journal", "durability")
	f.Journal.Power = j.Choose("durability", "process", "process", "power") == "power"
	f.control(top)
	f.Rules = ReadRules(top, time.Hour)
	f.classes(top)
	f.zones(top)
	f.kinds(top)
	f.partners(top)
	f.fleet(top)
	if top.Any() {
		return nil, top.Sorted()
	}
	return f, nil
}

// absolutePath returns a cleaned path, relative to dir unless it is absolute.
func absolutePath(dir, path string) string {
	if filepath.IsAbs(path) {
		return filepath.Clean(path)
	}
	return filepath.Join(dir, path)
}

// checkAddress adds a fault unless the address is host:port.
func checkAddress(b hclfile.Block, name, addr string, leastPort int) {
	host, port, err := net.SplitHostPort(addr)
	n, perr := strconv.Atoi(port)
	if err != nil || host == "" || perr != nil || n < leastPort || n > 65535 || strings.ContainsAny(host, " /\\") {
		b.Fault(b.Where(name), `%s is %q, must be host:port with a port from %d to 65535, such as "127.0.0.1:8080" or "[::1]:8080"`,
			name, addr, leastPort)
	}
}

// checkPrivateAddress adds a fault unless the address is ip:port on loopback or in a private network.
func checkPrivateAddress(b hclfile.Block, name, addr string, leastPort uint16) {
	a, err := netip.ParseAddrPort(addr)
	switch ip := a.Addr().Unmap(); {
	case err != nil || a.Port() < leastPort:
		b.Fault(b.Where(name), `%s is %q, must be ip:port, such as "10.0.0.1:7946" or "[fd00::1]:7946"`, name, addr)
	case !ip.IsLoopback() && !ip.IsPrivate():
		b.Fault(b.Where(name), "%s is %q, must be on loopback or in a private network (RFC 1918, RFC 4193): notes between relays carry no keys", name, addr)
	}
}

// names returns the names of all elements.
func names[T any](all []T, name func(T) string) []string {
	var out []string
	for _, one := range all {
		out = append(out, name(one))
	}
	return out
}
