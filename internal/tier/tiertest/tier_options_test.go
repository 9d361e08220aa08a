package tiertest

import "testing"

func TestEverySecondMachineRunsOtherPrograms(t *testing.T) {
	current, other := ProgramsIn("/current"), ProgramsIn("/other")
	one, two := Options{Programs: current}, Options{Programs: current, OtherPrograms: other}
	for _, c := range []struct {
		name  string
		o     Options
		class string
		want  []string // by index within the class
	}{
		{"one version, control", one, Core, []string{current.Control, current.Control, current.Control}},
		{"one version, fronts", one, Front, []string{current.Proxy, current.Proxy, current.Proxy}},
		{"two versions, cores", two, Core, []string{current.Control, other.Control, current.Control}},
		{"two versions, stores", two, Store, []string{current.Control, other.Control, current.Control}},
		{"two versions, fronts", two, Front, []string{current.Proxy, other.Proxy, current.Proxy}},
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
