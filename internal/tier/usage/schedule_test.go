package usage

import (
	"testing"
	"time"
)

var testSchedule = Schedule{WindowLength: 5 * second, LateAfter: 10 * second, Settle: 2500 * time.Millisecond, WarmUp: 4 * second, MinAge: 2 * second, Margin: 3 * second}

func TestScheduleCheckRejectsInvalidTimes(t *testing.T) {
	wantEqual(t, "default", DefaultSchedule(5*second, 10*second).Check(), nil)
	wantEqual(t, "default for short times", DefaultSchedule(second, second).Check(), nil)
	for name, s := range map[string]Schedule{
		"no length":        {},
		"negative time":    {WindowLength: 1, LateAfter: 1, Settle: -1},
		"negative age":     {WindowLength: 1, LateAfter: 1, MinAge: -1},
		"settles too long": {WindowLength: 1, LateAfter: 3, Settle: 2, Margin: 2},
	} {
		if s.Check() == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

func TestDueReturnsOldestSettledWindow(t *testing.T) {
	const none = -1
	// Window 200 ends at 1005 s, settles by 1007.5 s, must be recorded by 1012 s and is abandoned after 1025 s.
	through := func(last int64) []int64 {
		var all []int64
		for window := int64(190); window <= last; window++ {
			all = append(all, window)
		}
		return all
	}
	for _, test := range []struct {
		name           string
		now, collectAt time.Duration
		first          int64
		recorded       []int64
		want           int64
	}{
		{"not settled", 1007499 * time.Millisecond, 0, 0, through(199), none},
		{"settled", 1007500 * time.Millisecond, 0, 0, through(199), 200},
		{"recorded", 1007500 * time.Millisecond, 0, 0, through(200), none},
		{"the oldest first", 1007500 * time.Millisecond, 0, 0, through(197), 198},
		{"a gap", 1007500 * time.Millisecond, 0, 0, []int64{200, 199, 196, 197}, 198},
		{"just still retained", 1025 * second, 0, 0, []int64{199}, 200},
		{"no longer retained", 1025*second + 1, 0, 0, []int64{199}, 201},
		{"nothing recorded", 1007500 * time.Millisecond, 0, 0, nil, 197},
		{"before the first", 1007500 * time.Millisecond, 0, 200, nil, 200},
		{"first is still to come", 1007500 * time.Millisecond, 0, 201, nil, none},
		{"young collector", 1009999 * time.Millisecond, 1006 * second, 0, through(199), none},
		{"warm collector", 1010 * second, 1006 * second, 0, through(199), 200},
		{"young collector, but the window must be recorded", 1012 * second, 1009 * second, 0, through(199), 200},
		{"collector below the minimum age", 1012999 * time.Millisecond, 1011 * second, 0, through(199), none},
		{"collector of the minimum age", 1013 * second, 1011 * second, 0, through(199), 200},
		{"collector started when the window had to be recorded", 1013 * second, 1012 * second, 0, through(199), none},
		{"late, by a warm collector", 1016 * second, 1012 * second, 0, through(199), 200},
		{"collector started within the window", 1007500 * time.Millisecond, 1003 * second, 0, through(199), 200},
	} {
		t.Run(test.name, func(t *testing.T) {
			epoch := time.Unix(0, 0)
			window, ok := testSchedule.Due(epoch.Add(test.now), Progress{First: test.first, Recorded: test.recorded, CollectingSince: epoch.Add(test.collectAt)})
			if !ok {
				window = none
			}
			wantEqual(t, "due", window, test.want)
		})
	}
}

// A collector that keeps running records each window once, in order and in time.
func TestEachWindowIsDueOnceInOrder(t *testing.T) {
	var recorded []int64
	start := time.Unix(1000, 0)
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(100 * time.Millisecond) {
		if window, ok := testSchedule.Due(now, Progress{First: 200, Recorded: recorded, CollectingSince: start}); ok {
			recorded = append(recorded, window)
			if took := now.Sub(WindowEnd(window, 5*second)); took != testSchedule.Settle {
				t.Errorf("window %d is due %v after its end", window, took)
			}
		}
	}
	wantEqual(t, "recorded", recorded, []int64{200, 201, 202, 203, 204, 205, 206, 207, 208, 209, 210})
}
