package tiertest

import (
	"bytes"
	"context"
	"os/exec"
	"path/filepath"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Programs are the paths of the executables that a tier runs.
type Programs struct{ Proxy, Control string }

// ProgramsIn returns the paths of the executables in a folder.
func ProgramsIn(dir string) Programs {
	return Programs{Proxy: filepath.Join(dir, "larch-proxy"), Control: filepath.Join(dir, "larch-control")}
}

// BuildPrograms builds the executables from the sources into a folder, with the race detector where the caller was built with it. The
// working directory must be within the sources.
func BuildPrograms(ctx context.Context, dir string) (Programs, error) {
	cmd := exec.CommandContext(ctx, "go", "build", "-race="+strconv.FormatBool(raceDetector), "-o", dir+string(filepath.Separator),
		"larchrouter/cmd/larch-proxy", "larchrouter/cmd/larch-control")
	out, err := cmd.CombinedOutput()
	const advice = "build the tier's programs: call it within the sources, with Go and a C compiler"
	return ProgramsIn(dir), errors.Wrapf(err, advice+": %s", bytes.TrimSpace(out))
}

// forClass returns the executable that machines of a class run.
func (p Programs) forClass(class string) string {
	if class == Front {
		return p.Proxy
	}
	return p.Control
}
