package conf

import (
	"io"
	"os"

	"github.com/rotisserie/eris"
)

// maxFileBytes bounds a settings file.
const maxFileBytes = 4 << 20

// ReadFile reads a settings file. A file that never ends, such as a device, is an error.
func ReadFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	body, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxFileBytes {
		return nil, eris.Errorf("%s is longer than %d bytes", path, maxFileBytes)
	}
	return body, nil
}
