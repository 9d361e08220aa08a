// Package deploy checks the files that say how the programs are built and where they run.
package deploy

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
)

// systemFile is deploy/system.toml.
type systemFile struct {
	Build    string
	Packages []string // Debian packages that the build needs beside the Go toolchain
	Roles    map[string]role
}

// role is a program with the class of machines that it runs on.
type role struct {
	Run    string
	On     string
	Share  float64
	Count  int
	Apart  bool
	Serves []string
}

func readSystem(t *testing.T) systemFile {
	t.Helper()
	var file systemFile
	known, err := toml.DecodeFile("system.toml", &file)
	if err != nil {
		t.Fatal(err)
	}
	if extra := known.Undecoded(); len(extra) > 0 {
		t.Fatalf("keys that a deploy file does not have: %v", extra)
	}
	return file
}

// programs are the folders under cmd that the build names, sorted.
func (f systemFile) programs() (all []string) {
	for _, word := range strings.Fields(f.Build) {
		if name, found := strings.CutPrefix(word, "./cmd/"); found {
			all = append(all, name)
		}
	}
	slices.Sort(all)
	return all
}

// The build names the two programs and no more, links against the system's C library and writes to target.
func TestBuildNamesItsPrograms(t *testing.T) {
	file := readSystem(t)
	if got, want := file.programs(), []string{"larch-control", "larch-proxy"}; !slices.Equal(got, want) {
		t.Errorf("build names %v, want %v", got, want)
	}
	for _, part := range []string{"CGO_ENABLED=1 ", "-ldflags=-linkmode=external ", "-o target/ "} {
		if !strings.Contains(file.Build, part) {
			t.Errorf("build is %q, without %q", file.Build, part)
		}
	}
}

// Each role runs a program that the build makes, on a class of machines and for parties that there are.
func TestRolesAreBuilt(t *testing.T) {
	file := readSystem(t)
	serves := map[string]string{} // by class and party
	for name, role := range file.Roles {
		program, found := strings.CutPrefix(strings.Fields(role.Run)[0], "target/")
		if !found || !slices.Contains(file.programs(), program) {
			t.Errorf("role %s runs %q, which build does not make", name, role.Run)
		}
		if _, err := os.Stat(filepath.Join("..", "cmd", program, "main.go")); err != nil {
			t.Errorf("role %s: %v", name, err)
		}
		if !slices.Contains([]string{"front", "core", "store"}, role.On) {
			t.Errorf("role %s is on %q, no class of machines", name, role.On)
		}
		if (role.Share > 0) == (role.Count > 0) || role.Share > 1 {
			t.Errorf("role %s has share %v and count %d, want one of them", name, role.Share, role.Count)
		}
		for _, party := range role.Serves {
			if !slices.Contains([]string{"front", "control", "store"}, party) {
				t.Errorf("role %s serves %q", name, party)
			}
			if other := serves[role.On+" "+party]; other != "" {
				t.Errorf("roles %s and %s on one class both serve %s", other, name, party)
			}
			serves[role.On+" "+party] = name
		}
	}
	for _, need := range []string{"front front", "core control", "store store"} {
		if serves[need] == "" {
			t.Errorf("no role for %q (class, party)", need)
		}
	}
}

// The packages are all that a clean build opens files of, with what these two depend on: the compiler, and through it the
// assembler and linker (binutils) and its own library; the C library's headers and start files, and through it the kernel's
// headers. Without "recommended" packages gcc does not bring libc6-dev.
func TestPackagesOfACleanBuild(t *testing.T) {
	if got, want := readSystem(t).Packages, []string{"gcc", "libc6-dev"}; !slices.Equal(got, want) {
		t.Errorf("packages are %q, want %q", got, want)
	}
}

// These packages suffice while the programs hold no C but this, which asks for no library beside the C library. Whoever adds
// some adds what it needs to packages, and then to this list.
func TestProgramsHoldNoOtherC(t *testing.T) {
	file := readSystem(t)
	args := []string{"list", "-deps", "-f", `{{if or .CgoFiles .SwigFiles .CXXFiles .FFiles}}{{.ImportPath}}:{{.CgoLDFLAGS}}{{.CgoPkgConfig}}{{.CXXFiles}}{{end}}`}
	for _, program := range file.programs() {
		args = append(args, "../cmd/"+program)
	}
	list := exec.Command("go", args...)
	list.Env = append(os.Environ(), "CGO_ENABLED=1")
	out, err := list.Output()
	if err != nil {
		t.Fatal(err)
	}
	got := strings.Fields(string(out))
	slices.Sort(got)
	want := []string{"github.com/mattn/go-sqlite3:[-ldl][][]", "larchrouter/internal/earlysignal:[][][]", "net:[-lresolv][][]", "os/user:[][][]", "runtime/cgo:[-lpthread][][]"}
	if !slices.Equal(got, want) {
		t.Errorf("packages with C, and the libraries that they ask for, are\n%q, want\n%q", got, want)
	}
}
