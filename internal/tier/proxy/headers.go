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

const (
	defaultDeadline = 30 * time.Second // of a request without one by its route or header
	maxHeaderMs     = 1e9              // bounds times in headers, in milliseconds
)

// parseHeaders parses the tier's headers of a request. If it returns false the client has its error response.
func (r *request) parseHeaders() bool {
	if r.id = r.get("X-Attempt-Id"); r.id == "" {
		r.respondError(http.StatusBadRequest, 0, "header X-Attempt-Id: send an id of its own with each try")
		return false
	}
	return r.parseDeadline() && r.parseProgramDeadline() && r.parseTokens()
}

// parseDeadline sets the deadline: the smaller of the route's and of X-Time-Left-Ms, less responseMargin.
func (r *request) parseDeadline() bool {
	left := r.route.Deadline
	if v := r.get("X-Time-Left-Ms"); v != "" {
		ms, err := strconv.ParseFloat(v, 64)
		if err != nil || !(ms > 0) {
			r.respondError(http.StatusBadRequest, 0, "header X-Time-Left-Ms: send the milliseconds that are left, above 0")
			return false
		}
		d := time.Duration(min(ms, maxHeaderMs) * float64(time.Millisecond))
		if left <= 0 || d < left {
			left = d
		}
	}
	if left <= 0 {
		left = defaultDeadline
	}
	r.deadline = r.arrivedAt.Add(left - min(responseMargin, left/10))
	_ = r.client.SetWriteDeadline(r.deadline.Add(writeGrace)) // that of an earlier request may have passed
	return true
}

// parseProgramDeadline sets the deadline of the agent program from Finish-Ms.
func (r *request) parseProgramDeadline() bool {
	v := r.get("Finish-Ms")
	if v == "" {
		return true
	}
	ms, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(ms) {
		r.respondError(http.StatusBadRequest, 0, "header Finish-Ms: send the milliseconds until the program should be over")
		return false
	}
	r.programDeadline = r.arrivedAt.Add(time.Duration(max(-maxHeaderMs, min(ms, maxHeaderMs)) * float64(time.Millisecond)))
	return true
}

// parseTokens sets the token counts from X-Token-Usage.
func (r *request) parseTokens() bool {
	v := r.get("X-Token-Usage")
	if v == "" {
		return true
	}
	in, out, ok := strings.Cut(v, ",")
	generated, errOut := strconv.Atoi(strings.TrimSpace(out))
	prompt, errIn := strconv.Atoi(strings.TrimSpace(in))
	if !ok || errOut != nil || errIn != nil || generated < 0 || prompt < 0 {
		r.respondError(http.StatusBadRequest, 0,
			"header X-Token-Usage: send the tokens of the prompt and the most to be sent out, as IN,OUT")
		return false
	}
	r.maxTokens, r.promptTokens = generated, prompt
	return true
}

// pickInfo returns what the load balancer needs to know of the request.
func (r *request) pickInfo() balancer.PickInfo {
	info := balancer.PickInfo{Service: r.service.Name, Class: r.route.Name,
		FromProgram: !r.route.Retained && r.get("Program") != ""}
	if r.route.Affinity || r.route.Retained {
		info.Program = cmp.Or(r.get("Program"), r.get("Session"))
		info.PromptPrefix, _, _ = strings.Cut(r.get("X-Prompt-Prefix"), ":")
	}
	if r.promptTokens > 0 {
		info.Generation = &balancer.Generation{PromptTokens: r.promptTokens}
		info.Generation.SharedPrefix, info.Generation.SharedTokens = sharedPrefix(r.get("X-Prompt-Prefix"))
	}
	return info
}

// sharedPrefix returns the parts of a prompt that it shares with others, which are all but the last, and their tokens.
// header is a list of ID:TOKENS. Parts that cannot be parsed count as 0 tokens: it is the host that validates the header.
func sharedPrefix(header string) (id string, tokens int) {
	i := strings.LastIndexByte(header, ',')
	if i < 0 {
		return "", 0
	}
	id = header[:i]
	for part := range strings.SplitSeq(id, ",") {
		_, count, _ := strings.Cut(part, ":")
		if n, err := strconv.Atoi(strings.TrimSpace(count)); err == nil && n > 0 {
			tokens += n
		}
	}
	return id, tokens
}
