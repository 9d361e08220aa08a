package httpcall

import (
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"larchrouter/choice"
)

const maxRetryAfterSeconds = 3600

// End is the result of a call for one of its messages.
type End struct {
	Outcome choice.Outcome
	Done    bool // the host considers the message finished: it needs no retry
	Dialled bool // the call used a new connection, or failed to get one
}

// singleEnd interprets a response that applies to the whole call; many means that the call has several
// messages. An incomplete or unreadable response proves nothing, as the call may have run; except that a status
// of 200 proves that a single message was served. For several messages with status 200, batchEnds applies
// instead.
func singleEnd(resp response, many bool) End {
	if resp.status == http.StatusOK {
		return End{Outcome: choice.Served}
	}
	if resp.status == 0 || !resp.complete || resp.trailingGarbage {
		return End{Outcome: choice.Spoilt}
	}
	switch resp.status {
	case http.StatusTooManyRequests:
		return End{Outcome: choice.Refused}
	case http.StatusServiceUnavailable:
		if resp.header.Get("X-Over-Slots") == "1" {
			return End{Outcome: choice.NotSent}
		}
		return End{Outcome: choice.Refused}
	case http.StatusGatewayTimeout:
		return End{Outcome: choice.NotSent}
	case http.StatusGone:
		return End{Outcome: choice.NotSent, Done: true}
	case http.StatusRequestEntityTooLarge, http.StatusBadRequest:
		if many {
			return End{Outcome: choice.NotSent}
		}
	}
	return End{Outcome: choice.Error}
}

// batchEnds interprets the response to a call with several messages, one line "ID RESULT" for each. It proves
// something only if it is complete and names each message exactly once and no other; otherwise each of them may
// have run.
func batchEnds(resp response, ids []string) []End {
	unproven := slices.Repeat([]End{{Outcome: choice.Spoilt}}, len(ids))
	if !resp.complete {
		return unproven
	}
	ends, seen := make([]End, len(ids)), make([]bool, len(ids))
	for line := range strings.Lines(string(resp.body)) {
		id, result, _ := strings.Cut(strings.TrimSpace(line), " ")
		if id == "" {
			continue
		}
		i := slices.Index(ids, id)
		if i < 0 || seen[i] {
			return unproven
		}
		seen[i] = true
		switch strings.TrimSpace(result) {
		case "ok":
			ends[i] = End{Outcome: choice.Served}
		case "error":
			ends[i] = End{Outcome: choice.Error}
		case "later":
			ends[i] = End{Outcome: choice.Refused}
		case "gone":
			ends[i] = End{Outcome: choice.NotSent, Done: true}
		case "exhausted":
			ends[i] = End{Outcome: choice.NotSent}
		default:
			return unproven
		}
	}
	if slices.Contains(seen, false) {
		return unproven
	}
	return ends
}

// retryAfter returns the time in a Retry-After header, which holds seconds as an integer or a decimal, rounded
// up to milliseconds; 0 if there is none that is positive.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(h.Get("Retry-After")), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(math.Ceil(min(seconds, maxRetryAfterSeconds)*1000)) * time.Millisecond
}
