package settings

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// Duration is a duration that is written with its unit, such as "1.5s".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String formats d with its unit.
func (d Duration) String() string { return time.Duration(d).String() }

// Set implements flag.Value.
func (d *Duration) Set(text string) error {
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("%q is not a duration with a unit", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalYAML implements yaml.InterfaceMarshaler.
func (d Duration) MarshalYAML() (any, error) { return d.String(), nil }

const acceptedDuration = `a number with a unit, such as "250ms", "1.5s" or "2h"`

// UnmarshalYAML implements yaml.NodeUnmarshaler.
func (d *Duration) UnmarshalYAML(node ast.Node) error {
	return Scalar(node, d.Set, acceptedDuration)
}

// Bytes is a size in bytes that is written with its unit, such as "64KiB".
type Bytes int64

var byteUnits = []struct {
	suffix string
	factor float64
}{
	{"KiB", 1 << 10},
	{"MiB", 1 << 20},
	{"GiB", 1 << 30},
	{"TiB", 1 << 40},
	{"kB", 1e3},
	{"MB", 1e6},
	{"GB", 1e9},
	{"TB", 1e12},
	{"B", 1},
}

// String formats b in the largest binary unit that divides it.
func (b Bytes) String() string {
	for i := 3; i >= 0; i-- {
		unit := int64(byteUnits[i].factor)
		if b != 0 && int64(b)%unit == 0 {
			return strconv.FormatInt(int64(b)/unit, 10) + byteUnits[i].suffix
		}
	}
	return strconv.FormatInt(int64(b), 10) + "B"
}

// Set implements flag.Value.
func (b *Bytes) Set(text string) error {
	for _, unit := range byteUnits {
		number, found := strings.CutSuffix(text, unit.suffix)
		if !found {
			continue
		}
		value, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
		if err != nil || value < 0 || value*unit.factor >= 1<<62 {
			return fmt.Errorf("%q is not a size", text)
		}
		*b = Bytes(value * unit.factor)
		return nil
	}
	return fmt.Errorf("%q is not a size with a unit", text)
}

// MarshalYAML implements yaml.InterfaceMarshaler.
func (b Bytes) MarshalYAML() (any, error) { return b.String(), nil }

const acceptedBytes = `a number with a unit, such as "64KiB" or "2GB"`

// UnmarshalYAML implements yaml.NodeUnmarshaler.
func (b *Bytes) UnmarshalYAML(node ast.Node) error {
	return Scalar(node, b.Set, acceptedBytes)
}

// Address is an IP number and a port. Names are refused, since the system can't rely on
// a resolver at the hosts on which it runs.
type Address struct{ netip.AddrPort }

// Set implements flag.Value.
func (a *Address) Set(text string) error {
	parsed, err := netip.ParseAddrPort(text)
	if err != nil {
		return fmt.Errorf("%q is not an IP number and a port", text)
	}
	a.AddrPort = parsed
	return nil
}

// String formats a; the zero Address is the empty string.
func (a Address) String() string {
	if !a.IsValid() {
		return ""
	}
	return a.AddrPort.String()
}

// MarshalYAML implements yaml.InterfaceMarshaler.
func (a Address) MarshalYAML() (any, error) { return a.String(), nil }

const acceptedAddress = `an IP number and a port, such as "127.0.0.1:7400" or "[::1]:7400"`

// UnmarshalYAML implements yaml.NodeUnmarshaler.
func (a *Address) UnmarshalYAML(node ast.Node) error {
	return Scalar(node, a.Set, acceptedAddress)
}

// Scalar passes a scalar node's text to set and converts its error into a Problem at
// the node's line. It implements UnmarshalYAML methods of settings types.
func Scalar(node ast.Node, set func(string) error, accepted string) error {
	token := node.GetToken()
	if _, isScalar := node.(ast.ScalarNode); !isScalar {
		return problemAt(node, "expected one value", accepted)
	}
	if err := set(token.Value); err != nil {
		return problemAt(node, err.Error(), accepted)
	}
	return nil
}

func problemAt(node ast.Node, reason, accepted string) *Problem {
	return &Problem{
		Line:     node.GetToken().Position.Line,
		Key:      keyOf(node),
		Reason:   reason,
		Accepted: accepted,
	}
}

// keyOf returns the node's dotted key: the library's path "$.a.b" as "a.b".
func keyOf(node ast.Node) string {
	return strings.TrimPrefix(strings.TrimPrefix(node.GetPath(), "$"), ".")
}
