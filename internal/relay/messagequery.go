package relay

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/adminapi"
	"larchrouter/internal/relay/journal"
)

// stateNames are the states of the admin API, by status in the journal.
var stateNames = map[string]string{delivered: adminapi.Delivered, deferred: adminapi.Refused, undeliverable: adminapi.Fails}

// outcomeNames are the names of outcomes in the journal and the admin API.
var outcomeNames = map[choice.Outcome]string{choice.Served: "delivered", choice.Error: "error", choice.Refused: "refused",
	choice.Timeout: "timed out", choice.NoConnection: "no connection", choice.Reset: "reset", choice.Cancelled: "called off",
	choice.NotSent: "not sent", choice.Spoilt: "spoilt answer"}

// describeMessage describes a message, on the loop; msg is nil if it has ended. Attempts are included if complete is set.
func (r *Relay) describeMessage(entry *journal.Entry, msg *message, complete bool) adminapi.Message {
	described := adminapi.Message{ID: entry.ID, Class: entry.Class, Partner: entry.Partner, Key: entry.Key,
		Bytes: entry.Bytes, TakenMs: entry.TakenAt, DueMs: entry.Due, Ran: entry.Ran, Tries: entry.Tries,
		State: stateNames[entry.Status], EndedMs: entry.EndAt, AgainMs: entry.Again, Why: entry.Why}
	if msg != nil {
		described.State = adminapi.Waiting
		if msg.call != nil {
			described.State = adminapi.Out
		}
	}
	if described.State == adminapi.Waiting {
		described.Why, described.NextMs = r.waitReason(msg)
	}
	if !complete {
		return described
	}
	for i, attempt := range entry.Log {
		ca := adminapi.Attempt{Endpoint: attempt.Host, AtMs: attempt.At, TookMs: attempt.Took,
			Outcome: attempt.Outcome, Ran: attempt.Ran}
		if ca.Outcome == "" && msg != nil && msg.call != nil && i == len(entry.Log)-1 {
			ca.Outcome, ca.TookMs = "out", time.Now().UnixMilli()-attempt.At
		} else if ca.Outcome == "" {
			ca.Outcome, ca.Ran = "not recorded: the relay ended under it", true
		}
		described.Attempts = append(described.Attempts, ca)
	}
	return described
}

// waitReason returns why a message is not in flight, and when that changes by itself, in Unix milliseconds.
func (r *Relay) waitReason(msg *message) (why string, next int64) {
	partner := r.standalone.directory.Load().byNumber[msg.Dest]
	waits, ok := r.chooser.Waits(msg.ID)
	if !ok || partner == nil {
		return "", 0
	}
	if waits.Again > 0 {
		next = time.Now().Add(waits.Again).UnixMilli()
	}
	if why = waits.Why; waits.Host != "" {
		why = waits.Host + " " + why
	}
	var drained []string
	for _, endpoint := range partner.Endpoints {
		if !r.standalone.drains.Open(endpoint.ID) {
			drained = append(drained, endpoint.ID)
		}
	}
	if len(drained) > 0 {
		why += "; drained: " + strings.Join(drained, ", ")
	}
	return why, next
}

// findMessage describes a message by its id, on the loop; nil if it is unknown.
func (r *Relay) findMessage(id string) *adminapi.Message {
	msg, entry := r.pending[id], r.standalone.ends.Get(id)
	if msg != nil {
		entry = msg.Entry
	}
	for _, ended := range r.unstoredEnds { // not recorded yet
		if entry == nil && ended.ID == id {
			entry = ended
		}
	}
	if entry == nil {
		return nil
	}
	described := r.describeMessage(entry, msg, true)
	return &described
}

// Message implements adminapi.Backend.
func (r *Relay) Message(ctx context.Context, id string) (adminapi.Message, error) {
	m, err := onLoop(ctx, r, func() *adminapi.Message { return r.findMessage(id) })
	if err != nil {
		return adminapi.Message{}, err
	}
	if m == nil {
		return adminapi.Message{}, adminapi.Errorf(adminapi.NotFound,
			"message %q: never taken on, or its end is no longer remembered", id)
	}
	return *m, nil
}

// Messages implements adminapi.Backend. The cursor is the number of the last message returned, after a letter that
// identifies the list.
func (r *Relay) Messages(ctx context.Context, query adminapi.Query) (adminapi.Page, error) {
	page := adminapi.Page{Messages: []adminapi.Message{}}
	letter, from, err := parseQuery(&query)
	if err != nil {
		return page, err
	}
	scan := r.scanPending
	if letter == endedLetter {
		scan = r.scanEnds
	}
	type part struct {
		found []adminapi.Message
		from  uint64
	}
	for {
		// Each part belongs to the loop until it is returned: a request that ends early shares nothing with it.
		most, at := min(maxDescribed, query.Limit-len(page.Messages)), from
		p, err := onLoop(ctx, r, func() (p part) { p.found, p.from = scan(query, at, most); return p })
		if err != nil {
			return page, err
		}
		page.Messages, from = append(page.Messages, p.found...), p.from
		if from == 0 || len(page.Messages) >= query.Limit {
			break
		}
	}
	if from > 0 {
		page.Next = letter + strconv.FormatUint(from, 10)
	}
	return page, nil
}

// Letters of the lists in cursors.
const (
	endedLetter   = "e"
	pendingLetter = "h"
	newestLetter  = "n" // pending, newest first
)

// parseQuery checks a query and sets its default limit. It returns the letter of the list that is asked for, and the number
// in the cursor; 0 for the beginning.
func parseQuery(query *adminapi.Query) (letter string, from uint64, err error) {
	if query.Limit == 0 {
		query.Limit = adminapi.PageDefault
	}
	if query.Limit < 0 || query.Limit > adminapi.PageMost {
		return "", 0, adminapi.Errorf(adminapi.Invalid, "limit is %d, must be from 1 to %d", query.Limit, adminapi.PageMost)
	}
	if query.State != "" && !slices.Contains(adminapi.States, query.State) {
		return "", 0, adminapi.Errorf(adminapi.Invalid, "state is %q, must be one of %s",
			query.State, strings.Join(adminapi.States, ", "))
	}
	switch {
	case query.Ended || query.State != "" && query.State != adminapi.Waiting && query.State != adminapi.Out:
		letter = endedLetter
	case query.Newest:
		letter = newestLetter
	default:
		letter = pendingLetter
	}
	if query.Cursor == "" {
		return letter, 0, nil
	}
	from, err = strconv.ParseUint(strings.TrimPrefix(query.Cursor, letter), 10, 64)
	if err != nil || !strings.HasPrefix(query.Cursor, letter) || from == 0 {
		return "", 0, adminapi.Errorf(adminapi.Invalid, "cursor %q is not of this list", query.Cursor)
	}
	return letter, from, nil
}

// matchesQuery reports whether a message matches a query; since is when it was admitted or ended.
func matchesQuery(q adminapi.Query, e *journal.Entry, state string, since int64) bool {
	return (q.Partner == "" || e.Partner == q.Partner) && (q.Class == "" || e.Class == q.Class) &&
		(q.State == "" || state == q.State) && strings.HasPrefix(e.ID, q.IDPrefix) &&
		(q.Older <= 0 || time.Now().UnixMilli()-since > q.Older.Milliseconds())
}

// scanPending looks at some pending messages after the one with a number, or before it if the newest come first. It returns
// those that match and the number to continue from; 0 at the end.
func (r *Relay) scanPending(query adminapi.Query, from uint64, most int) (found []adminapi.Message, next uint64) {
	all := r.standalone.pendingInOrder
	step, i := 1, sort.Search(len(all), func(i int) bool { return all[i].sequence > from })
	if query.Newest {
		step, i = -1, len(all)-1
		if from > 0 {
			i = sort.Search(len(all), func(i int) bool { return all[i].sequence >= from }) - 1
		}
	}
	for count := 0; i >= 0 && i < len(all); i += step {
		if count++; count > maxScanned || len(found) >= most {
			return found, from
		}
		msg := all[i]
		from = msg.sequence
		if msg.ended {
			continue
		}
		state := adminapi.Waiting
		if msg.call != nil {
			state = adminapi.Out
		}
		if matchesQuery(query, msg.Entry, state, msg.TakenAt) {
			found = append(found, r.describeMessage(msg.Entry, msg, false))
		}
	}
	return found, 0
}

// scanEnds does the same for the stored ends, newest first.
func (r *Relay) scanEnds(q adminapi.Query, from uint64, most int) (found []adminapi.Message, next uint64) {
	next = r.standalone.ends.Scan(from, maxScanned, func(e *journal.Entry) bool {
		if matchesQuery(q, e, stateNames[e.Status], e.EndAt) {
			found = append(found, r.describeMessage(e, nil, false))
		}
		return len(found) < most
	})
	return found, next
}

// serveMessage answers a client's query for the state of its message.
func (r *Relay) serveMessage(w http.ResponseWriter, req *http.Request) {
	described, err := r.Message(req.Context(), req.PathValue("id"))
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		status := http.StatusServiceUnavailable
		if adminapi.IsCode(err, adminapi.NotFound) {
			status = http.StatusNotFound
		}
		w.WriteHeader(status)
		json.NewEncoder(w).Encode(map[string]string{"error": err.Error()})
		return
	}
	json.NewEncoder(w).Encode(described)
}
