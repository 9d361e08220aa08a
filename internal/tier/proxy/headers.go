package proxy

import (
	"cmp"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"larchrouter/internal/tier/balancer"
)

// parseHeaders takes what the headers say. Where one is wrong, it is refused.
func (r *request) parseHeaders() bool {
	if r.id = r.get("X-Attempt-Id"); r.id == "" {
		r.respondError(http.StatusBadRequest, 0, "header X-Attempt-Id: send an id of its own with each try")
		return false
	}
	left := r.route.Deadline
	if v := r.get("X-Time-Left-Ms"); v != "" {
		ms, err := strconv.ParseFloat(v, 64)
		if err != nil || !(ms > 0) {
			r.respondError(http.StatusBadRequest, 0, "header X-Time-Left-Ms: send the milliseconds that are left, above 0")
			return false
		}
		d := time.Duration(min(ms, 1e9) * float64(time.Millisecond))
		if left <= 0 || d < left {
			left = d
		}
	}
	if left <= 0 {
		left = 30 * time.Second
	}
	r.deadline = r.arrivedAt.Add(left - min(responseMargin, left/10))
	_ = r.client.SetWriteDeadline(r.deadline.Add(writeGrace)) // that of an earlier request may have passed
	if v := r.get("Finish-Ms"); v != "" {
		ms, err := strconv.ParseFloat(v, 64)
		if err != nil || math.IsNaN(ms) {
			r.respondError(http.StatusBadRequest, 0, "header Finish-Ms: send the milliseconds until the program should be over")
			return false
		}
		r.programDeadline = r.arrivedAt.Add(time.Duration(max(-1e9, min(ms, 1e9)) * float64(time.Millisecond)))
	}
	if v := r.get("X-Token-Usage"); v != "" {
		in, out, ok := strings.Cut(v, ",")
		n, err := strconv.Atoi(strings.TrimSpace(out))
		prompt, err2 := strconv.Atoi(strings.TrimSpace(in))
		if !ok || err != nil || err2 != nil || n < 0 || prompt < 0 {
			r.respondError(http.StatusBadRequest, 0, "header X-Token-Usage: send the tokens of the prompt and the most to be sent out, as IN,OUT")
			return false
		}
		r.maxTokens, r.promptTokens = n, prompt
	}
	return true
}

// pickInfo is what the request asks of the load balancing.
func (r *request) pickInfo() balancer.PickInfo {
	q := balancer.PickInfo{Service: r.service.Name, Class: r.route.Name, FromProgram: !r.route.Retained && r.get("Program") != ""}
	if r.route.Affinity || r.route.Retained {
		q.Program = cmp.Or(r.get("Program"), r.get("Session"))
		q.PromptPrefix, _, _ = strings.Cut(r.get("X-Prompt-Prefix"), ":")
	}
	if r.promptTokens > 0 {
		q.Generation = &balancer.Generation{PromptTokens: r.promptTokens}
		q.Generation.SharedPrefix, q.Generation.SharedTokens = sharedPrefix(r.get("X-Prompt-Prefix"))
	}
	return q
}

// sharedPrefix are the parts of a prompt that it has in common with others: all but the last, with their tokens. What cannot
// be read counts for nothing: the header is the host's to judge.
func sharedPrefix(prefix string) (id string, tokens int) {
	i := strings.LastIndexByte(prefix, ',')
	if i < 0 {
		return "", 0
	}
	id = prefix[:i]
	for part := range strings.SplitSeq(id, ",") {
		_, n, _ := strings.Cut(part, ":")
		if v, err := strconv.Atoi(strings.TrimSpace(n)); err == nil && v > 0 {
			tokens += v
		}
	}
	return id, tokens
}
