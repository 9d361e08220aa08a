package standin

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// part is one message of a call.
type part struct {
	id, key string
	body    []byte
}

// parts reads the body of a call with several messages.
func parts(body []byte) (all []part, err error) {
	seen := map[string]bool{}
	for len(body) > 0 {
		head, rest, ok := bytes.Cut(body, []byte("\r\n"))
		f := strings.Fields(string(head))
		if !ok || len(f) != 3 {
			return nil, errors.New("a line with id, key and length is missing")
		}
		n, err := strconv.Atoi(f[2])
		if err != nil || n < 0 || len(rest) < n+2 || string(rest[n:n+2]) != "\r\n" || seen[f[0]] {
			return nil, fmt.Errorf("message %q is too short, or there twice", f[0])
		}
		if f[1] == "-" {
			f[1] = ""
		}
		seen[f[0]] = true
		all, body = append(all, part{f[0], f[1], rest[:n]}), rest[n+2:]
	}
	if len(all) == 0 {
		return nil, errors.New("no message")
	}
	return all, nil
}
