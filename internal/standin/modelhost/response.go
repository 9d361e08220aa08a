package modelhost

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// chunkedLength is the length of a body of unknown length, which is sent in chunks.
const chunkedLength = -1

// reject answers a request that was not executed. It reports whether the connection stays open.
func (h *Host) reject(c *conn, id string, status int) bool {
	h.mu.Lock()
	h.rejected++
	h.mu.Unlock()
	return h.respond(c, status, attemptHeader(id)+"X-Not-Executed: 1\r\n", nil)
}

func attemptHeader(id string) string {
	if id == "" {
		return ""
	}
	return "X-Attempt-Id: " + id + "\r\n"
}

// responseHead returns the head of an answer up to and with the empty line, and whether the connection stays open after
// the answer. closes asks for it to be closed.
func (h *Host) responseHead(status int, header string, length int, closes bool) (head []byte, keepAlive bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n%s", status, http.StatusText(status), header)
	if h.opts.ReportsLoad {
		fmt.Fprintf(&b, "X-Host-Load: %d,%d,%d\r\n", h.running, len(h.waiting), h.opts.Capacity)
	}
	if h.opts.Model != "" {
		fmt.Fprintf(&b, "Versions: %d\r\n", h.version)
	}
	closes = closes || h.draining
	if closes {
		b.WriteString("Connection: close\r\n")
	} else if seconds := int(h.opts.IdleTimeout / time.Second); seconds > 0 {
		fmt.Fprintf(&b, "Keep-Alive: timeout=%d\r\n", seconds)
	}
	if length == chunkedLength {
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	} else {
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", length)
	}
	return b.Bytes(), !closes
}

// respond writes a complete answer. It reports whether the connection stays open.
func (h *Host) respond(c *conn, status int, header string, body []byte) bool {
	head, keepAlive := h.responseHead(status, header, len(body), false)
	c.write(append(head, body...))
	return keepAlive
}

// report returns the body of /api/report. The keys are the protocol's.
func (h *Host) report() []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	b, _ := json.Marshal(map[string]any{
		"pipeline_stage": "both", "model_list": ModelList(h.opts.Model, h.version), "utilization": false, "call_seq": 0,
		"queued": len(h.waiting), "active": h.running, "cache_used": h.cache.reserved, "cache_capacity": h.opts.CacheTokens,
		"open_handles": 0,
	})
	return b
}

// ModelList returns the models of a host in the format in which hosts and the platform report them.
func ModelList(model string, version int) []any {
	if model == "" {
		return []any{}
	}
	return []any{map[string]any{"name": model, "config_version": version, "adapter_list": []any{}}}
}
