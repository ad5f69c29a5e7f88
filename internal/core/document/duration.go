package document

import (
	"fmt"
	"time"

	"go.yaml.in/yaml/v3"
)

// Duration is a time.Duration written as text such as "800ms".
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// MarshalYAML implements yaml.Marshaler.
func (d Duration) MarshalYAML() (any, error) { return time.Duration(d).String(), nil }

// UnmarshalYAML implements yaml.Unmarshaler. The error is a *yaml.TypeError that
// names the line.
func (d *Duration) UnmarshalYAML(n *yaml.Node) error {
	if n.Kind != yaml.ScalarNode {
		return durationError(n)
	}
	if err := d.UnmarshalText([]byte(n.Value)); err != nil {
		return durationError(n)
	}
	return nil
}

// durationError returns an error in the format of the YAML library's type errors,
// which strictyaml parses.
func durationError(n *yaml.Node) error {
	message := fmt.Sprintf("line %d: cannot unmarshal %s `%s` into document.Duration", n.Line, n.ShortTag(), n.Value)
	return &yaml.TypeError{Errors: []string{message}}
}
