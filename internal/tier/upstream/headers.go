package upstream

import (
	"net/http"
	"strings"
)

// hopByHopHeaders are the fields that concern one connection only, and those that a call sets itself.
var hopByHopHeaders = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true,
	"Proxy-Authenticate": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Expect": true,
	"Content-Length": true, "Host": true, "X-Target-Instance": true, "X-Time-Left-Ms": true}

// endToEndHeaders are the fields that decide what runs, or prove whose response it is: a Connection field cannot make them
// hop-by-hop.
var endToEndHeaders = map[string]bool{"X-Attempt-Id": true, "Program": true, "Previous": true, "Budget": true,
	"X-Host-Seal": true, "X-Tenant": true}

// IsHopByHop reports whether a field, by its canonical name, is not passed on. named has the values of the message's
// Connection field.
func IsHopByHop(name string, named []string) bool {
	if hopByHopHeaders[name] {
		return true
	}
	for _, list := range named {
		for one := range strings.SplitSeq(list, ",") {
			if http.CanonicalHeaderKey(strings.TrimSpace(one)) == name {
				return !endToEndHeaders[name]
			}
		}
	}
	return false
}
