package proxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

func findExchange(t *testing.T, name string) *exchange {
	t.Helper()
	for i := range exchanges {
		if exchanges[i].name == name {
			return &exchanges[i]
		}
	}
	t.Fatalf("no exchange %q", name)
	return nil
}

// sendCopyToSecond sends a copy of request x to the second host, once.
func sendCopyToSecond(s *exchangeTest, x *exchangeHost, c *call) {
	if c.id() != "x" || x.host != "i-1" {
		return
	}
	nc, err := net.Dial("tcp4", s.secondAddr)
	if err != nil {
		s.t.Error(err)
		return
	}
	defer nc.Close()
	_, _ = io.WriteString(nc, c.head+c.body)
	if _, err := http.ReadResponse(bufio.NewReader(nc), nil); err != nil {
		s.t.Error(err)
	}
}

func replaceInResponse(id, old, new string) func(string, []byte) []byte {
	return func(of string, b []byte) []byte {
		if of != id {
			return b
		}
		return bytes.Replace(b, []byte(old), []byte(new), 1)
	}
}

func replaceStatus(from, to int) func(a answer) answer {
	return func(a answer) answer {
		if a.status == from {
			a.status = to
		}
		return a
	}
}

// Faults of a proxy, planted in the bytes between it and the others: the check finds each by its rule.
func TestPlantedFaultsAreFound(t *testing.T) {
	tool, order, turn := routes[0], routes[1], routes[3]
	once := tool
	once.maxAttempts = 1 // while the configuration of the proxy allows three
	for name, c := range map[string]struct {
		exchange string
		route    route
		kept     bool
		plant    plantedFault
		rule     string
	}{
		"sent again after a reset of a reused connection": {"reset while it runs", order, true, plantedFault{toHost: sendCopyToSecond}, "TWICE"},
		"a turn sent again after a time-out":              {"no response while it runs", turn, false, plantedFault{toHost: sendCopyToSecond}, "TWICE"},
		"sent again after a 500":                          {"500", order, false, plantedFault{toHost: sendCopyToSecond}, "TWICE"},
		"503 after it may have run":                       {"close while it runs", order, false, plantedFault{fromClient: replaceStatus(502, 503)}, "REFUSED"},
		"503 without a proof passed on":                   {"503 without a proof", order, false, plantedFault{fromClient: replaceStatus(502, 503)}, "REFUSED"},
		"421 for a failure":                               {"504", turn, false, plantedFault{fromClient: replaceStatus(504, 421)}, "REFUSED"},
		"the id is not checked":                           {"200 of another id", order, false, plantedFault{fromHost: replaceInResponse("x", "Id: other", "Id: x")}, "MIXED"},
		"an extra response is taken": {"an extra response as the next response", order, true,
			plantedFault{fromHost: replaceInResponse("after", "Id: x", "Id: after")}, "MIXED"},
		"a connection with bytes behind a response is kept": {"a response to the next behind", tool, true,
			plantedFault{fromHost: func(id string, b []byte) []byte {
				if id == "after" {
					return append(fmt.Appendf(nil, forged200, "after"), b...)
				}
				return b
			}}, "MIXED"},
		"a truncated body looks complete": {"half a body", order, false, plantedFault{fromHost: replaceInResponse("x", "Length: 9", "Length: 4")}, "MIXED"},
		"truncated chunks look complete": {"chunks without end", order, false,
			plantedFault{fromHost: replaceInResponse("x", "half\r\n", "half\r\n0\r\n\r\n")}, "MIXED"},
		"a seal with another status": {"500", order, false, plantedFault{fromClient: replaceStatus(500, 502)}, "MIXED"},
		"a success for a failure":    {"504", order, false, plantedFault{fromClient: replaceStatus(504, 200)}, "MIXED"},
		"a success without a seal": {"200", order, false, plantedFault{fromClient: func(a answer) answer {
			a.header.Del("X-Host-Seal")
			return a
		}}, "MIXED"},
		"a response to another caller": {"200", order, true, plantedFault{fromClient: func(a answer) answer {
			a.header.Set("X-Attempt-Id", "somebody")
			return a
		}}, "MIXED"},
		"more hosts than allowed": {"503 not executed", once, false, plantedFault{}, "BUDGET"},
	} {
		t.Run(name, func(t *testing.T) {
			_, faults := runExchange(t, findExchange(t, c.exchange), c.route, c.kept, false, c.plant)
			if !strings.Contains(strings.Join(faults, "; "), c.rule) {
				t.Errorf("%q is found, want %s", faults, c.rule)
			}
		})
	}
}
