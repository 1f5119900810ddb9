package docgen

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"reflect"
	"strings"
)

// modulePath is the import path of the module.
const modulePath = "gooseberrylane.example"

// sources reads the doc comments of struct fields from source files and caches them.
type sources struct {
	root string
	// comments holds the comments by package directory and by "Type.Field".
	comments map[string]map[string]string
}

// fieldComments returns the comments of the fields of a struct type by field name, or none for types of other modules.
func (s *sources) fieldComments(t reflect.Type) (map[string]string, error) {
	dir, inModule := strings.CutPrefix(t.PkgPath(), modulePath+"/")
	if !inModule {
		return nil, nil
	}
	if s.comments[dir] == nil {
		found, err := readComments(filepath.Join(s.root, filepath.FromSlash(dir)))
		if err != nil {
			return nil, err
		}
		s.comments[dir] = found
	}
	fields := make(map[string]string)
	for key, text := range s.comments[dir] {
		if name, ok := strings.CutPrefix(key, t.Name()+"."); ok {
			fields[name] = text
		}
	}
	return fields, nil
}

// readComments returns the comments of all struct fields of a package by "Type.Field".
func readComments(dir string) (map[string]string, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil {
		return nil, err
	}
	comments := make(map[string]string)
	for _, path := range files {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments|parser.SkipObjectResolution)
		if err != nil {
			return nil, err
		}
		ast.Inspect(file, func(node ast.Node) bool {
			if spec, ok := node.(*ast.TypeSpec); ok {
				addComments(comments, spec)
			}
			return true
		})
	}
	return comments, nil
}

func addComments(comments map[string]string, spec *ast.TypeSpec) {
	structType, ok := spec.Type.(*ast.StructType)
	if !ok {
		return
	}
	for _, f := range structType.Fields.List {
		for _, name := range f.Names {
			comments[spec.Name.Name+"."+name.Name] = strings.Join(strings.Fields(f.Doc.Text()), " ")
		}
	}
}
