// Package settings reads one YAML file per process, strictly.
//
// A file with an unknown key, a value without its unit or an invalid value is
// refused. Every problem contains the file, the line, the key, the reason and the
// accepted values, so that an operator can correct the file without reading the
// code. A process does not start with a refused file.
package settings
