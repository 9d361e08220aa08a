package proxy

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// head is that of a request, checked so strictly that no two readers could take it for different things.
type head struct {
	method         string
	uri            string // as sent
	host           string
	header         http.Header
	length         int64 // of the body; -1 where it comes in chunks
	close          bool
	expectContinue bool // 100 Continue
}

func (h *head) path() string {
	path, _, _ := strings.Cut(h.uri, "?")
	return path
}

func (h *head) get(name string) string { // name is canonical
	if v := h.header[name]; len(v) > 0 {
		return v[0]
	}
	return ""
}

var errVersion = errors.New("HTTP version: speak HTTP/1.1")

// parseHead reads the head of a request, up to and with its blank line.
func parseHead(b []byte) (*head, error) {
	line, rest, ok := strings.Cut(string(b), "\r\n")
	if !ok {
		return nil, errors.New("request line: end it with CR LF")
	}
	method, line, ok1 := strings.Cut(line, " ")
	uri, version, ok2 := strings.Cut(line, " ")
	switch {
	case !ok1 || !ok2 || !isToken(method) || strings.Contains(version, " "):
		return nil, errors.New("request line: send METHOD PATH HTTP/1.1")
	case len(uri) == 0 || uri[0] != '/' || !isVisible(uri):
		return nil, errors.New("request target: send a path that begins with a slash, without spaces or control characters")
	case version != "HTTP/1.1":
		return nil, errVersion
	}
	h := &head{method: method, uri: uri, header: make(http.Header, 16)}
	values := make([]string, 0, 16) // of all headers, most of which come once
	for {
		line, rest, ok = strings.Cut(rest, "\r\n")
		if !ok {
			return nil, errors.New("header: end each line with CR LF")
		}
		if line == "" {
			break
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) {
			return nil, errors.New("header: send NAME: VALUE, on one line, with no space before the colon")
		}
		value = strings.Trim(value, " \t")
		for i := range len(value) {
			if c := value[i]; c < ' ' && c != '\t' || c == 0x7f {
				return nil, errors.Newf("header %s: send no control characters", name)
			}
		}
		key := textproto.CanonicalMIMEHeaderKey(name)
		if old := h.header[key]; old != nil {
			h.header[key] = append(old, value)
			continue
		}
		n := len(values)
		values = append(values, value)
		h.header[key] = values[n : n+1 : n+1]
	}
	hosts := h.header["Host"]
	if len(hosts) != 1 || hosts[0] == "" {
		return nil, errors.New("header Host: send it once")
	}
	h.host = hosts[0]
	coding, lengths := h.header["Transfer-Encoding"], h.header["Content-Length"]
	switch {
	case len(coding) > 0 && len(lengths) > 0:
		return nil, errors.New("headers Transfer-Encoding and Content-Length: send one of them")
	case len(coding) > 1 || len(coding) == 1 && !strings.EqualFold(coding[0], "chunked"):
		return nil, errors.New("header Transfer-Encoding: send chunked, once, or none")
	case len(coding) == 1:
		h.length = -1
	case len(lengths) > 1:
		return nil, errors.New("header Content-Length: send it once")
	case len(lengths) == 1:
		n, err := strconv.ParseUint(lengths[0], 10, 62)
		if err != nil || lengths[0][0] == '+' {
			return nil, errors.New("header Content-Length: send digits only")
		}
		h.length = int64(n)
	}
	if len(h.header["X-Attempt-Id"]) > 1 {
		return nil, errors.New("header X-Attempt-Id: send it once")
	}
	for _, v := range h.header["Connection"] {
		for one := range strings.SplitSeq(v, ",") {
			h.close = h.close || strings.EqualFold(strings.TrimSpace(one), "close")
		}
	}
	h.expectContinue = strings.EqualFold(h.get("Expect"), "100-continue")
	return h, nil
}

func isToken(b string) bool {
	for i := range len(b) {
		if c := b[i]; c <= ' ' || c >= 0x7f || strings.IndexByte(`"(),/:;<=>?@[\]{}`, c) >= 0 {
			return false
		}
	}
	return len(b) > 0
}

func isVisible(b string) bool {
	for i := range len(b) {
		if c := b[i]; c <= ' ' || c == 0x7f {
			return false
		}
	}
	return true
}
