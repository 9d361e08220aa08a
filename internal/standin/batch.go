package standin

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// message is a message of a call, which may have several.
type message struct {
	id, key string
	body    []byte
}

// parseBatch parses the body of a call with several messages.
func parseBatch(body []byte) (batch []message, err error) {
	seen := map[string]bool{}
	for len(body) > 0 {
		line, rest, ok := bytes.Cut(body, []byte("\r\n"))
		fields := strings.Fields(string(line))
		if !ok || len(fields) != 3 {
			return nil, errors.New("a line with id, key and length is missing")
		}
		id, key := fields[0], fields[1]
		length, err := strconv.Atoi(fields[2])
		if err != nil || length < 0 || len(rest) < length+2 || string(rest[length:length+2]) != "\r\n" || seen[id] {
			return nil, fmt.Errorf("message %q is too short, or occurs twice", id)
		}
		if key == "-" {
			key = ""
		}
		seen[id] = true
		batch = append(batch, message{id, key, rest[:length]})
		body = rest[length+2:]
	}
	if len(batch) == 0 {
		return nil, errors.New("no message")
	}
	return batch, nil
}
