package config

// The YAML library reformats the complete document for every value that it
// decodes through encoding.TextUnmarshaler, which takes minutes for thousands
// of teams. Types with an UnmarshalYAML method avoid that.

// UnmarshalYAML decodes the form written by MarshalText.
func (d *Duration) UnmarshalYAML(decode func(any) error) error {
	return unmarshalScalar(decode, d.UnmarshalText)
}

// UnmarshalYAML decodes the form written by MarshalText.
func (s *Share) UnmarshalYAML(decode func(any) error) error {
	return unmarshalScalar(decode, s.UnmarshalText)
}

// UnmarshalYAML decodes the form written by MarshalText.
func (d *TokenDigest) UnmarshalYAML(decode func(any) error) error {
	return unmarshalScalar(decode, d.UnmarshalText)
}

// unmarshalScalar decodes a YAML scalar as text and passes it to set.
func unmarshalScalar(decode func(any) error, set func([]byte) error) error {
	var text string
	if err := decode(&text); err != nil {
		return err
	}
	return set([]byte(text))
}
