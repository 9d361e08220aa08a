package usage

import (
	"reflect"
	"sync"
	"testing"
	"time"
)

const second = time.Second

func wantEqual(t *testing.T, what string, got, want any) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// numbers returns the window numbers of a report.
func numbers(report Report) []int64 {
	numbers := []int64{}
	for _, w := range report.Windows {
		numbers = append(numbers, w.Number)
	}
	return numbers
}

func TestWindowContainsItsTime(t *testing.T) {
	for _, test := range []struct {
		at   time.Duration // since 1970
		want int64
	}{{0, 0}, {5*second - 1, 0}, {5 * second, 1}, {-1, -1}, {-5 * second, -1}, {-5*second - 1, -2}, {353445120*5*second + second, 353445120}} {
		at := time.Unix(0, int64(test.at))
		got := WindowAt(at, 5*second)
		wantEqual(t, test.at.String(), got, test.want)
		if end := WindowEnd(got, 5*second); !at.Before(end) || at.Before(end.Add(-5*second)) {
			t.Errorf("%v is in window %d, which ends at %v", test.at, got, end)
		}
	}
}

func TestCounterReportsUntilAcknowledged(t *testing.T) {
	c := NewCounter(7, 6)
	wantEqual(t, "an empty counter", c.Pending(), Report{Incarnation: 7})
	c.Record("b", 11)
	c.Record("a", 10)
	c.Record("a", 11)
	c.Record("b", 11)
	first := c.Pending()
	wantEqual(t, "first report", first, Report{Incarnation: 7, Windows: []Window{{10, []TenantCount{{"a", 1}}}, {11, []TenantCount{{"a", 1}, {"b", 2}}}}})
	wantEqual(t, "without a receipt", c.Pending(), first)
	c.Record("a", 10) // while the report is in flight
	c.Acknowledge("x", first)
	wantEqual(t, "counted since", c.Pending().Windows, []Window{{10, []TenantCount{{"a", 2}}}})
	c.Acknowledge("x", c.Pending())
	wantEqual(t, "after all receipts", numbers(c.Pending()), []int64{})
	c.Acknowledge("x", first) // repeated
	wantEqual(t, "after an old receipt", numbers(c.Pending()), []int64{})
}

func TestCounterReportsAgainToNewCollector(t *testing.T) {
	c := NewCounter(7, 6)
	c.Record("a", 10)
	c.Acknowledge("x", c.Pending())
	c.Record("a", 11)
	report := c.Pending()
	wantEqual(t, "to the first collector", numbers(report), []int64{11})
	c.Acknowledge("y", report)
	wantEqual(t, "to the next one", numbers(c.Pending()), []int64{10})
	c.Acknowledge("x", report) // late
	c.Acknowledge("y", c.Pending())
	wantEqual(t, "after a late receipt of the first one", numbers(c.Pending()), []int64{11})
	c.Acknowledge("y", Report{})
	c.Acknowledge("z", Report{})
	wantEqual(t, "after an empty report", numbers(c.Pending()), []int64{10, 11})
}

func TestCounterIsBounded(t *testing.T) {
	c := NewCounter(7, 3)
	c.Record("a", 1000) // recorded while the estimate of the true time was wrong
	for window := range int64(5) {
		c.Record("a", window)
		c.Record("a", window-1)
	}
	wantEqual(t, "windows", numbers(c.Pending()), []int64{2, 3, 4})
	c.Acknowledge("x", Report{Windows: []Window{{0, []TenantCount{{"a", 9}}}}}) // of a window that is no longer retained
	wantEqual(t, "windows", numbers(c.Pending()), []int64{2, 3, 4})
}

func TestCounterAddsLoads(t *testing.T) {
	c := NewCounter(7, 6)
	c.AddBusy("m", "z2", 300*time.Microsecond)
	c.AddBusy("m", "z2", 800*time.Microsecond)
	c.AddBusy("m", "z1", 2*second)
	c.AddBusy("h", "z1", -second)
	wantEqual(t, "report", c.Pending(), Report{Incarnation: 7, Loads: []ServiceLoad{{"h", "z1", 0}, {"m", "z1", 2000}, {"m", "z2", 1}}})
}

func TestCounterIsSafeForConcurrentUse(t *testing.T) {
	c := NewCounter(7, 6)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 200 {
				c.Record("a", 1)
				c.AddBusy("m", "z", time.Millisecond)
				c.Acknowledge("x", c.Pending())
			}
		})
	}
	wg.Wait()
	wantEqual(t, "left", numbers(c.Pending()), []int64{})
	wantEqual(t, "busy", c.Pending().Loads, []ServiceLoad{{"m", "z", 1600}})
}
