package settings

import (
	"reflect"
	"regexp"
	"slices"
	"strings"
)

var indexPattern = regexp.MustCompile(`\[\d+\]`)

// siblingKeys returns the keys that are valid at the place of the dotted key, in the
// order of their declaration.
func siblingKeys(into any, key string) []string {
	path := strings.Split(indexPattern.ReplaceAllString(key, ""), ".")
	fields := fieldsOf(reflect.TypeOf(into))
	for _, name := range path[:len(path)-1] {
		at := slices.IndexFunc(fields, func(f field) bool { return f.key == name })
		if at < 0 {
			return nil
		}
		fields = fieldsOf(fields[at].kind)
	}
	keys := make([]string, 0, len(fields))
	for _, f := range fields {
		keys = append(keys, f.key)
	}
	return keys
}

// structOf returns the element type behind pointers, slices and maps.
func structOf(t reflect.Type) reflect.Type {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice || t.Kind() == reflect.Map {
		t = t.Elem()
	}
	return t
}

// field is a key of a settings struct and the type of its value.
type field struct {
	key  string
	kind reflect.Type
}

// fieldsOf returns the fields of the struct that is t or lies behind its pointers,
// slices and maps, and nil if there is none.
func fieldsOf(t reflect.Type) []field {
	t = structOf(t)
	if t.Kind() != reflect.Struct {
		return nil
	}
	var fields []field
	for f := range t.Fields() {
		name, options, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		switch {
		case options == "inline":
			fields = append(fields, fieldsOf(f.Type)...)
		case name != "" && name != "-":
			fields = append(fields, field{key: name, kind: f.Type})
		}
	}
	return fields
}

// typeName describes the values of type t in a settings file.
func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a text"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Slice, reflect.Array:
		return "a list"
	case reflect.Struct, reflect.Map:
		return "a mapping of keys to values"
	default:
		return "a whole number"
	}
}
