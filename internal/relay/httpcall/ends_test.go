package httpcall

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"larchrouter/choice"
)

func TestOutcomeByStatus(t *testing.T) {
	for status, end := range map[int]End{
		200: {Outcome: choice.Served},
		500: {Outcome: choice.Error},
		429: {Outcome: choice.Refused},
		503: {Outcome: choice.Refused},
		504: {Outcome: choice.NotSent},
		410: {Outcome: choice.NotSent, Done: true},
		418: {Outcome: choice.Error},
	} {
		want(t, fmt.Sprint("end after ", status), singleEnd(response{status: status, complete: true}, false), end)
		if status != 200 {
			got := singleEnd(response{status: status}, false)
			want(t, fmt.Sprint("end after an incomplete ", status), got, End{Outcome: choice.Spoilt})
		}
	}
	over := response{status: 503, complete: true, header: http.Header{"X-Over-Slots": {"1"}}}
	want(t, "end without a slot", singleEnd(over, false), End{Outcome: choice.NotSent})
	want(t, "end of a call too large", singleEnd(response{status: 413, complete: true}, true), End{Outcome: choice.NotSent})
}

// No malformed response proves anything of a message that it does not name.
func FuzzBatchEnds(f *testing.F) {
	f.Add("a ok\r\nb later\r\n")
	f.Add("a  gone\nb")
	f.Add("\x00 ok\r\na exhausted")
	f.Fuzz(func(t *testing.T, body string) {
		ids := []string{"a", "b"}
		ends := batchEnds(response{complete: true, body: []byte(body)}, ids)
		if len(ends) != len(ids) {
			t.Fatalf("%d ends for %d messages", len(ends), len(ids))
		}
		for i, e := range ends {
			if e.Outcome != choice.Spoilt && !strings.Contains(body, ids[i]) {
				t.Fatalf("%q is %v without being named", ids[i], e)
			}
		}
	})
}

func TestMalformedBatchResponseProvesNothing(t *testing.T) {
	ids := []string{"a", "b"}
	for _, body := range []string{
		"a ok\r\n", "a ok\r\nb ok\r\nc ok\r\n", "a later\r\na later\r\nb ok\r\n", "a ok\r\nb o", "", "noise",
	} {
		for i, e := range batchEnds(response{complete: true, body: []byte(body)}, ids) {
			want(t, fmt.Sprintf("%s after %q", ids[i], body), e, End{Outcome: choice.Spoilt})
		}
	}
	cut := response{body: []byte("a later\r\nb later\r\n")}
	want(t, "an incomplete response", batchEnds(cut, ids)[0], End{Outcome: choice.Spoilt})
}

func TestRetryAfter(t *testing.T) {
	for text, d := range map[string]time.Duration{"1": time.Second, "0.25": 250 * time.Millisecond,
		"0.0001": time.Millisecond, "": 0, "x": 0, "-1": 0, "NaN": 0, "1e99": time.Hour} {
		want(t, "wait for "+text, retryAfter(http.Header{"Retry-After": {text}}), d)
	}
}
