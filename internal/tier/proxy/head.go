package proxy

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// head is the head of a request. It is validated strictly enough that no two HTTP parsers could disagree about it (request
// smuggling).
type head struct {
	method         string
	uri            string // path and query as sent
	host           string
	header         http.Header
	length         int64 // of the body; -1 for one in chunks
	close          bool  // the client closes the connection after the response
	expectContinue bool
}

var errVersion = errors.New("HTTP version: speak HTTP/1.1")

func (h *head) path() string {
	path, _, _ := strings.Cut(h.uri, "?")
	return path
}

// get returns the first value of a header field by its canonical name.
func (h *head) get(name string) string {
	if v := h.header[name]; len(v) > 0 {
		return v[0]
	}
	return ""
}

// parseHead parses the head of a request, including its blank line. It returns errVersion for another version of HTTP. The
// text of an error is sent to the client.
func parseHead(b []byte) (*head, error) {
	line, rest, ok := strings.Cut(string(b), "\r\n")
	if !ok {
		return nil, errors.New("request line: end it with CR LF")
	}
	h := &head{}
	if err := h.parseRequestLine(line); err != nil {
		return nil, err
	}
	if err := h.parseFields(rest); err != nil {
		return nil, err
	}
	hosts := h.header["Host"]
	if len(hosts) != 1 || hosts[0] == "" {
		return nil, errors.New("header Host: send it once")
	}
	h.host = hosts[0]
	if err := h.parseLength(); err != nil {
		return nil, err
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

func (h *head) parseRequestLine(line string) error {
	method, line, ok1 := strings.Cut(line, " ")
	uri, version, ok2 := strings.Cut(line, " ")
	switch {
	case !ok1 || !ok2 || !isToken(method) || strings.Contains(version, " "):
		return errors.New("request line: send METHOD PATH HTTP/1.1")
	case len(uri) == 0 || uri[0] != '/' || !isVisible(uri):
		return errors.New("request target: send a path that begins with a slash, without spaces or control characters")
	case version != "HTTP/1.1":
		return errVersion
	}
	h.method, h.uri = method, uri
	return nil
}

// parseFields parses the header fields, each on its line, up to the blank line.
func (h *head) parseFields(rest string) error {
	h.header = make(http.Header, 16)
	values := make([]string, 0, 16) // of all fields: most have one value, and share this allocation
	for {
		var line string
		var ok bool
		line, rest, ok = strings.Cut(rest, "\r\n")
		if !ok {
			return errors.New("header: end each line with CR LF")
		}
		if line == "" {
			return nil
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) {
			return errors.New("header: send NAME: VALUE, on one line, with no space before the colon")
		}
		value = strings.Trim(value, " \t")
		for i := range len(value) {
			if c := value[i]; c < ' ' && c != '\t' || c == 0x7f {
				return errors.Newf("header %s: send no control characters", name)
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
}

// parseLength sets the length of the body, from exactly one of Transfer-Encoding and Content-Length; 0 if there is neither.
func (h *head) parseLength() error {
	coding, lengths := h.header["Transfer-Encoding"], h.header["Content-Length"]
	switch {
	case len(coding) > 0 && len(lengths) > 0:
		return errors.New("headers Transfer-Encoding and Content-Length: send one of them")
	case len(coding) > 1 || len(coding) == 1 && !strings.EqualFold(coding[0], "chunked"):
		return errors.New("header Transfer-Encoding: send chunked, once, or none")
	case len(coding) == 1:
		h.length = -1
	case len(lengths) > 1:
		return errors.New("header Content-Length: send it once")
	case len(lengths) == 1:
		n, err := strconv.ParseUint(lengths[0], 10, 62)
		if err != nil || lengths[0][0] == '+' {
			return errors.New("header Content-Length: send digits only")
		}
		h.length = int64(n)
	}
	return nil
}

// isToken reports whether a string is a token of HTTP, such as a method or the name of a field.
func isToken(s string) bool {
	for i := range len(s) {
		if c := s[i]; c <= ' ' || c >= 0x7f || strings.IndexByte(`"(),/:;<=>?@[\]{}`, c) >= 0 {
			return false
		}
	}
	return len(s) > 0
}

// isVisible reports whether a string has neither spaces nor ASCII control characters.
func isVisible(s string) bool {
	for i := range len(s) {
		if c := s[i]; c <= ' ' || c == 0x7f {
			return false
		}
	}
	return true
}
