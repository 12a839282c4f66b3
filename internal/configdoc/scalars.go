package configdoc

import (
	"encoding"
	"regexp"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/internal/settings"
)

// scalarKind is a type that implements encoding.TextUnmarshaler and a description of
// the values that it accepts. The YAML library reports an error of such a type without
// its line, so scalarProblems decodes the scalars of the syntax tree again to find it.
type scalarKind struct {
	value    func() encoding.TextUnmarshaler
	accepted string
}

var (
	durationKind = scalarKind{func() encoding.TextUnmarshaler { return new(config.Duration) }, "a duration with a unit, such as 380ms or 2m"}
	shareKind    = scalarKind{func() encoding.TextUnmarshaler { return new(config.Share) }, "a percentage, such as 12.5%"}
	digestKind   = scalarKind{func() encoding.TextUnmarshaler { return new(config.TokenDigest) }, "the SHA-256 of a token in hexadecimal"}
)

var scalarKinds = map[string]scalarKind{
	"classes.first_token.within": durationKind,
	"classes.deadline":           durationKind,
	"teams.share.floor":          shareKind,
	"teams.share.ceiling":        shareKind,
	"teams.token_digests":        digestKind,
	"models.roles.share":         shareKind,
}

var indexPattern = regexp.MustCompile(`\[\d+\]`)

// scalarFinder is an ast.Visitor that collects the problems of scalars.
type scalarFinder struct {
	file     string
	problems settings.Problems
}

// Visit implements ast.Visitor.
func (f *scalarFinder) Visit(node ast.Node) ast.Visitor {
	if pair, isPair := node.(*ast.MappingValueNode); isPair {
		// The key node is skipped, since it has the same path as its value.
		ast.Walk(f, pair.Value)
		return nil
	}
	scalar, isScalar := node.(ast.ScalarNode)
	if !isScalar {
		return f
	}
	key := strings.TrimPrefix(node.GetPath(), "$.")
	kind, known := scalarKinds[indexPattern.ReplaceAllString(key, "")]
	if !known {
		return f
	}
	token := scalar.GetToken()
	if err := kind.value().UnmarshalText([]byte(token.Value)); err != nil {
		f.problems = append(f.problems, &settings.Problem{
			File:     f.file,
			Line:     token.Position.Line,
			Key:      key,
			Reason:   err.Error(),
			Accepted: kind.accepted,
		})
	}
	return f
}

// scalarProblems returns the faults of the document's scalars, or nil if the text isn't
// valid YAML.
func scalarProblems(file string, data []byte) settings.Problems {
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil
	}
	finder := &scalarFinder{file: file}
	for _, doc := range tree.Docs {
		if doc.Body != nil {
			ast.Walk(finder, doc.Body)
		}
	}
	return finder.problems
}
