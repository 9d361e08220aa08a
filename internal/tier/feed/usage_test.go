package feed

import (
	"bytes"
	"context"
	"encoding/hex"
	"reflect"
	"testing"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/usage"
)

// The method number and the encoding of its messages are part of the wire protocol, so the expected bytes must never be
// regenerated. big exceeds 32 bits, so that a field of a narrower type fails.
func TestUsageMessagesKeepTheirBytes(t *testing.T) {
	const big = 1 << 40
	if UsageCall != 12 {
		t.Errorf("the method is %d, want 12", UsageCall)
	}
	for _, test := range []struct {
		name  string
		value any
		bytes string
	}{
		{"report", &UsageReport{Name: "name", Incarnation: big + 1,
			Windows: []usage.Window{{Number: big + 2, Counts: []usage.TenantCount{{Tenant: "tenant-1", Count: big + 3}, {Tenant: "tenant-2", Count: big + 4}}},
				{Number: big + 5, Counts: []usage.TenantCount{{Tenant: "tenant-3", Count: big + 6}}}},
			Loads:     []usage.ServiceLoad{{Service: "service-1", Zone: "zone-1", BusyMs: big + 7}, {Service: "service-2", Zone: "zone-2", BusyMs: big + 8}},
			Forwarded: true},
			"086e616d65828080808040037e848080808040033c1074656e616e742d318680808080401074656e616e742d32888080808040008a8080808040011e1074656e616e742d338c80808080400000035c12736572766963652d310c7a6f6e652d318e808080804012736572766963652d320c7a6f6e652d329080808080400001"},
		{"receipt", &UsageReceipt{Collector: "collector", HeadAddr: "head", TrueTimeMs: big + 1},
			"12636f6c6c6563746f720868656164828080808040"},
		{"receipt of another node", &UsageReceipt{HeadAddr: "head"},
			"00086865616400"},
	} {
		old, err := hex.DecodeString(test.bytes)
		if err != nil {
			t.Fatal(err)
		}
		if now := rpc.Encode(test.value); !bytes.Equal(now, old) {
			t.Errorf("%s is encoded as\n%x, want\n%x", test.name, now, old)
		}
		got := reflect.New(reflect.TypeOf(test.value).Elem()).Interface()
		if err := rpc.Decode(old, got); err != nil || !reflect.DeepEqual(got, test.value) {
			t.Errorf("%s: the expected bytes decode to %+v (%v), want %+v", test.name, got, err, test.value)
		}
	}
}

// usageCaller is a Caller that returns a fixed receipt and records the last report and its address.
type usageCaller struct {
	to      string
	report  UsageReport
	receipt UsageReceipt
	err     error
}

func (c *usageCaller) Call(_ context.Context, to string, m rpc.Method, body, response any) error {
	if m != UsageCall {
		return errors.Newf("method %d", m)
	}
	c.to, c.report = to, *body.(*UsageReport)
	*response.(*UsageReceipt) = c.receipt
	return c.err
}

func TestFollowerReportsUsage(t *testing.T) {
	calls := &usageCaller{receipt: UsageReceipt{Collector: "c", HeadAddr: "head:1", TrueTimeMs: 7}}
	f := &Follower{name: "front-1", calls: calls, sources: newSources("front-1", []string{"core:1"})}
	report := usage.Report{Incarnation: 3, Windows: []usage.Window{{Number: 4}}, Loads: []usage.ServiceLoad{{Service: "s"}}}
	for addr, want := range map[string]string{"": "core:1", "head:1": "head:1"} {
		receipt, err := f.ReportUsage(t.Context(), addr, report)
		if err != nil || receipt != calls.receipt || calls.to != want {
			t.Errorf("report to %q: sent to %q, result %+v, %v", addr, calls.to, receipt, err)
		}
	}
	want := UsageReport{Name: "front-1", Incarnation: 3, Windows: report.Windows, Loads: report.Loads}
	if !reflect.DeepEqual(calls.report, want) {
		t.Errorf("reported %+v, want %+v", calls.report, want)
	}
	calls.err = errors.New("lost")
	if _, err := f.ReportUsage(t.Context(), "", report); !errors.Is(err, calls.err) {
		t.Errorf("a lost report returned %v", err)
	}
}
