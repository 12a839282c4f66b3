package settings

import (
	"bytes"
	"os"

	"github.com/rotisserie/eris"
)

// ReadSecret reads the file given for a setting and returns its contents without
// surrounding white space. It returns an error for fewer than least bytes.
func ReadSecret(setting, file string, least int) ([]byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, setting)
	}
	secret := bytes.TrimSpace(data)
	if len(secret) < least {
		return nil, eris.Errorf("%s: %s holds %d bytes, at least %d are needed", setting, file, len(secret), least)
	}
	return secret, nil
}
