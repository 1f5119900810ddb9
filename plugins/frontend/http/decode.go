package http

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

// strictUnmarshal decodes one JSON value and refuses unknown fields and trailing text.
func strictUnmarshal(raw []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("text after the end of the JSON value")
	}
	return nil
}
