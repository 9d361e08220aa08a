// Command doccheck looks for exported names without a doc comment and for packages without a package comment in the folders that
// it is given and those under them, testdata and hidden ones left out. It prints one line for each, and fails if there is any.
//
// The comment of a function, method or type begins with its name, after an article if it reads better; so does that of a const or
// var which stands alone, if the comment is above it. In a group of consts or vars a comment on the group, above the line or at its
// end is enough. Fields and the methods of interfaces need none, nor do the methods of types that are not exported. Tests and
// generated files are left out; build tags are not heeded, so that each variant of a file is looked at.
package main

import (
	"cmp"
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// finding is a name or package whose comment is missing or of another form.
type finding struct {
	at   token.Position
	what string
}

func (f finding) String() string { return fmt.Sprintf("%s:%d: %s", f.at.Filename, f.at.Line, f.what) }

// checkFolder looks at the package in one folder, which may hold no Go file.
func checkFolder(dir string) ([]finding, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil {
		return nil, err
	}
	fset := token.NewFileSet()
	var files []*ast.File
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(fset, path, nil, parser.ParseComments)
		if err != nil {
			return nil, err
		}
		if !ast.IsGenerated(file) {
			files = append(files, file)
		}
	}
	var found []finding
	report := func(at token.Pos, what string) { found = append(found, finding{fset.Position(at), what}) }
	checkPackage(files, report)
	for _, file := range files {
		for _, decl := range file.Decls {
			checkDecl(decl, report)
		}
	}
	return found, nil
}

// checkPackage wants a package comment in one of the files, and each that is there in the usual form.
func checkPackage(files []*ast.File, report func(token.Pos, string)) {
	if len(files) == 0 {
		return
	}
	name := files[0].Name.Name
	start, want := "Package "+name, `"Package `+name+` ..."`
	if name == "main" {
		start, want = "Command", `"Command NAME ..."`
	}
	commented := false
	for _, file := range files {
		text := file.Doc.Text()
		if text == "" {
			continue
		}
		commented = true
		if !beginsWith(text, start) {
			report(file.Package, "the package comment does not begin with "+want)
		}
	}
	if !commented {
		report(files[0].Package, "package "+name+" has no package comment")
	}
}

// checkDecl looks at what one declaration at the top level exports.
func checkDecl(decl ast.Decl, report func(token.Pos, string)) {
	switch decl := decl.(type) {
	case *ast.FuncDecl:
		if decl.Recv == nil {
			checkName(decl.Name, decl.Doc.Text(), report)
		} else if receiver(decl).IsExported() {
			checkName(decl.Name, decl.Doc.Text(), report)
		}
	case *ast.GenDecl:
		for _, spec := range decl.Specs {
			switch spec := spec.(type) {
			case *ast.TypeSpec:
				checkType(decl, spec, report)
			case *ast.ValueSpec:
				checkValues(decl, spec, report)
			}
		}
	}
}

// checkType looks at one type. The comment of one that stands alone belongs to the declaration.
func checkType(decl *ast.GenDecl, spec *ast.TypeSpec, report func(token.Pos, string)) {
	doc := spec.Doc
	if !decl.Lparen.IsValid() {
		doc = decl.Doc
	}
	checkName(spec.Name, doc.Text(), report)
}

// checkValues looks at one line of consts or vars. A line of several names is like a group.
func checkValues(decl *ast.GenDecl, spec *ast.ValueSpec, report func(token.Pos, string)) {
	above, end := decl.Doc.Text()+spec.Doc.Text(), spec.Comment.Text()
	if alone := !decl.Lparen.IsValid() && len(spec.Names) == 1; alone && above != "" {
		checkName(spec.Names[0], above, report)
		return
	}
	if above+end != "" {
		return
	}
	for _, name := range spec.Names {
		checkName(name, "", report)
	}
}

// checkName reports an exported name without a comment, or with one that begins otherwise.
func checkName(name *ast.Ident, text string, report func(token.Pos, string)) {
	switch {
	case !name.IsExported():
	case text == "":
		report(name.Pos(), name.Name+" has no doc comment")
	case !beginsWith(text, name.Name):
		report(name.Pos(), "the doc comment of "+name.Name+" does not begin with its name")
	}
}

// beginsWith says whether a comment begins with the words of start, after an article or none, as words of their own.
func beginsWith(text, start string) bool {
	for _, article := range []string{"", "A ", "An ", "The "} {
		rest, ok := strings.CutPrefix(text, article+start)
		// An apostrophe is for "Name's", a mark of the sentence for "Name, ..." and "Name: ...".
		if ok && (rest == "" || strings.ContainsRune(" \n,.:;'()", rune(rest[0]))) {
			return true
		}
	}
	return false
}

// receiver is the name of the type that a method belongs to, without pointer and type parameters.
func receiver(method *ast.FuncDecl) *ast.Ident {
	expr := method.Recv.List[0].Type
	for {
		switch e := expr.(type) {
		case *ast.StarExpr:
			expr = e.X
		case *ast.ParenExpr:
			expr = e.X
		case *ast.IndexExpr:
			expr = e.X
		case *ast.IndexListExpr:
			expr = e.X
		case *ast.Ident:
			return e
		default: // not Go that compiles
			return ast.NewIdent("_")
		}
	}
}

// checkTree looks at a folder and those under it.
func checkTree(root string) (found []finding, err error) {
	err = filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || !entry.IsDir() {
			return err
		}
		name := entry.Name()
		if path != root && (name == "testdata" || strings.HasPrefix(name, ".") || strings.HasPrefix(name, "_")) {
			return fs.SkipDir
		}
		here, err := checkFolder(path)
		found = append(found, here...)
		return err
	})
	return found, err
}

var errFound = errors.New("comments are missing or of another form")

// run checks the trees, and prints what it finds in order of file and line.
func run(roots []string, out io.Writer) error {
	var all []finding
	for _, root := range roots {
		found, err := checkTree(root)
		if err != nil {
			return err
		}
		all = append(all, found...)
	}
	slices.SortStableFunc(all, func(a, b finding) int {
		return cmp.Or(cmp.Compare(a.at.Filename, b.at.Filename), cmp.Compare(a.at.Line, b.at.Line))
	})
	for _, f := range all {
		if _, err := fmt.Fprintln(out, f); err != nil {
			return err
		}
	}
	if len(all) > 0 {
		return fmt.Errorf("%w: %d", errFound, len(all))
	}
	return nil
}

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: doccheck FOLDER...")
		os.Exit(2)
	}
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "doccheck:", err)
		os.Exit(1)
	}
}
