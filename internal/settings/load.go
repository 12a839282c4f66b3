package settings

import (
	"bytes"
	"errors"
	"os"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// MaxFileBytes bounds a settings file.
const MaxFileBytes = 4 << 20

// Checker is implemented by settings that check their values after decoding.
type Checker interface {
	Check(r *Report)
}

// Document is a decoded file with its syntax tree, from which later checks determine
// the lines of problems.
type Document struct {
	// File is the document's name in problems.
	File string
	tree *ast.File
}

// Load decodes the file at path into the pointer into and checks the result. The
// error, if any, is of type Problems. Existing values in into are the defaults.
func Load(path string, into any) error {
	document, err := Decode(path, into)
	if err != nil {
		return err
	}
	return document.Check(into)
}

// Decode is Load without the checks, for a caller that overrides values before
// it calls Document.Check.
func Decode(path string, into any) (*Document, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, unreadable(path, err)
	}
	if info.Size() > MaxFileBytes {
		return nil, Problems{{File: path, Reason: "is too large", Accepted: Bytes(MaxFileBytes).String() + " at most"}}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, unreadable(path, err)
	}
	return decode(path, data, into)
}

func unreadable(path string, err error) Problems {
	return Problems{{File: path, Reason: "can't be read: " + err.Error(), Accepted: "the path of a readable YAML file"}}
}

// Parse is Load for data that is already in memory; file is its name in problems.
func Parse(file string, data []byte, into any) error {
	document, err := decode(file, data, into)
	if err != nil {
		return err
	}
	return document.Check(into)
}

func decode(file string, data []byte, into any) (*Document, error) {
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, Problems{fromLibrary(file, nil, into, err)}
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict())
	if err := decoder.Decode(into); err != nil && !isEmpty(tree) {
		return nil, Problems{fromLibrary(file, tree, into, err)}
	}
	return &Document{File: file, tree: tree}, nil
}

// Check runs the checks of a value that implements Checker.
func (d *Document) Check(value any) error {
	checker, ok := value.(Checker)
	if !ok {
		return nil
	}
	report := &Report{file: d.File, tree: d.tree}
	checker.Check(report)
	return report.Err()
}

func isEmpty(tree *ast.File) bool {
	for _, doc := range tree.Docs {
		if doc.Body != nil {
			return false
		}
	}
	return true
}

// fromLibrary converts an error of the YAML library into a Problem.
func fromLibrary(file string, tree *ast.File, into any, err error) *Problem {
	var own *Problem
	if errors.As(err, &own) {
		own.File = file
		return own
	}
	var located yaml.Error
	if !errors.As(err, &located) || located.GetToken() == nil {
		return &Problem{File: file, Reason: firstLine(err.Error())}
	}
	problem := &Problem{
		File:   file,
		Line:   located.GetToken().Position.Line,
		Key:    keyAt(tree, located.GetToken()),
		Reason: located.GetMessage(),
	}
	describeTypedError(problem, into, err)
	return problem
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return line
}

// describeTypedError sets reason and accepted values for the library's typed errors, in
// terms of the settings file instead of the Go types.
func describeTypedError(problem *Problem, into any, err error) {
	var unknown *yaml.UnknownFieldError
	var mismatch *yaml.TypeError
	var overflow *yaml.OverflowError
	switch {
	case errors.As(err, &unknown):
		problem.Accepted = "one of " + strings.Join(siblingKeys(into, problem.Key), ", ")
	case errors.As(err, &mismatch):
		problem.Reason = "is of the wrong type"
		problem.Accepted = typeName(mismatch.DstType)
	case errors.As(err, &overflow):
		problem.Accepted = "a smaller number"
	}
}

// tokenFinder finds the key of the deepest node that starts at an offset.
type tokenFinder struct {
	offset int
	key    string
}

// Visit implements ast.Visitor.
func (f *tokenFinder) Visit(node ast.Node) ast.Visitor {
	if node.GetToken() != nil && node.GetToken().Position.Offset == f.offset {
		f.key = keyOf(node)
	}
	return f
}

func keyAt(tree *ast.File, at *token.Token) string {
	if tree == nil {
		return ""
	}
	finder := &tokenFinder{offset: at.Position.Offset}
	for _, doc := range tree.Docs {
		if doc.Body != nil {
			ast.Walk(finder, doc.Body)
		}
	}
	return finder.key
}
