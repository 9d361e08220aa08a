package tiertest

import "testing"

func TestEverySecondMachineRunsOtherPrograms(t *testing.T) {
	current, other := ProgramsIn("/current"), ProgramsIn("/other")
	for _, c := range []struct {
		name  string
		o     Options
		class string
		want  []string // by index within the class
	}{
		{"one version, control", Options{Programs: current}, Core, []string{current.Control, current.Control, current.Control}},
		{"one version, fronts", Options{Programs: current}, Front, []string{current.Proxy, current.Proxy, current.Proxy}},
		{"two versions, cores", Options{Programs: current, OtherPrograms: other}, Core, []string{current.Control, other.Control, current.Control}},
		{"two versions, stores", Options{Programs: current, OtherPrograms: other}, Store, []string{current.Control, other.Control, current.Control}},
		{"two versions, fronts", Options{Programs: current, OtherPrograms: other}, Front, []string{current.Proxy, other.Proxy, current.Proxy}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for i, want := range c.want {
				if got := c.o.program(c.class, i); got != want {
					t.Errorf("machine %d runs %s, want %s", i+1, got, want)
				}
			}
		})
	}
}
