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

// read takes what the headers say. Where one is wrong, it is refused.
func (r *request) read() bool {
	if r.id = r.get("X-Attempt-Id"); r.id == "" {
		r.fail(http.StatusBadRequest, 0, "header X-Attempt-Id: send an id of its own with each try")
		return false
	}
	left := r.route.Deadline
	if v := r.get("X-Time-Left-Ms"); v != "" {
		ms, err := strconv.ParseFloat(v, 64)
		if err != nil || !(ms > 0) {
			r.fail(http.StatusBadRequest, 0, "header X-Time-Left-Ms: send the milliseconds that are left, above 0")
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
	r.until = r.arrived.Add(left - min(answerMargin, left/10))
	_ = r.client.SetWriteDeadline(r.until.Add(writeGrace)) // that of an earlier request may have passed
	if v := r.get("Finish-Ms"); v != "" {
		ms, err := strconv.ParseFloat(v, 64)
		if err != nil || math.IsNaN(ms) {
			r.fail(http.StatusBadRequest, 0, "header Finish-Ms: send the milliseconds until the program should be over")
			return false
		}
		r.finish = r.arrived.Add(time.Duration(max(-1e9, min(ms, 1e9)) * float64(time.Millisecond)))
	}
	if v := r.get("X-Token-Usage"); v != "" {
		in, out, ok := strings.Cut(v, ",")
		n, err := strconv.Atoi(strings.TrimSpace(out))
		prompt, err2 := strconv.Atoi(strings.TrimSpace(in))
		if !ok || err != nil || err2 != nil || n < 0 || prompt < 0 {
			r.fail(http.StatusBadRequest, 0, "header X-Token-Usage: send the tokens of the prompt and the most to be sent out, as IN,OUT")
			return false
		}
		r.tokens, r.prompt = n, prompt
	}
	return true
}

// query is what the request asks of the load balancing.
func (r *request) query() balancer.PickInfo {
	q := balancer.PickInfo{Service: r.service.Name, Class: r.route.Name, FromProgram: !r.route.Retained && r.get("Program") != ""}
	if r.route.Affinity || r.route.Retained {
		q.Program = cmp.Or(r.get("Program"), r.get("Session"))
		q.PromptPrefix, _, _ = strings.Cut(r.get("X-Prompt-Prefix"), ":")
	}
	if r.prompt > 0 {
		q.Generation = &balancer.Generation{PromptTokens: r.prompt}
		q.Generation.SharedPrefix, q.Generation.SharedTokens = shared(r.get("X-Prompt-Prefix"))
	}
	return q
}

// shared are the parts of a prompt that it has in common with others: all but the last, with their tokens. What cannot
// be read counts for nothing: the header is the host's to judge.
func shared(prefix string) (id string, tokens int) {
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
