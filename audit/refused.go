package audit

import (
	"encoding/json"
	"errors"
	"strings"

	"cardamomcourse.example/cardamom/platform"
)

// Refused returns the finding of a configuration that can't be decoded.
func Refused(err error) Finding {
	var syntax *json.SyntaxError
	var mismatch *json.UnmarshalTypeError
	var entry *platform.EntryError
	switch {
	case errors.As(err, &entry):
		return Finding{Severity: Error, Path: entry.Path(), Text: "instances refuse it: " + err.Error()}
	case errors.As(err, &mismatch):
		// Value can have the number itself. Only its first word, the JSON type, is used,
		// since the number may be the value of a key.
		kind, _, _ := strings.Cut(mismatch.Value, " ")
		var at path
		if mismatch.Field != "" {
			at = strings.Split(mismatch.Field, ".")
		}
		return Finding{Severity: Error, Path: at, Offset: mismatch.Offset, Text: "instances refuse it: a JSON " + kind + " can't be read as " + mismatch.Type.Kind().String()}
	case errors.As(err, &syntax):
		return Finding{Severity: Error, Offset: syntax.Offset, Text: "instances refuse it: " + syntax.Error()}
	default:
		return Finding{Severity: Error, Text: "instances refuse it: " + err.Error()}
	}
}
