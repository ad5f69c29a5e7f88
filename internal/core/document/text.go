package document

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"

	"sassafrasreach/internal/core/strictyaml"
)

// yamlIndent is the number of spaces by which Marshal indents.
const yamlIndent = 2

// Parse reads a document and sets the defaults of the fields that are left out.
// It doesn't validate. An error names lines and fields; it is a
// *strictyaml.Error unless the text is longer than MaxTextBytes.
func Parse(text []byte) (*Document, error) {
	if len(text) > MaxTextBytes {
		return nil, fmt.Errorf("the document has %d bytes, more than %d", len(text), MaxTextBytes)
	}
	doc := &Document{}
	if err := strictyaml.Decode(text, doc); err != nil {
		return nil, err
	}
	return doc, nil
}

// ParseValid reads and validates a document. An error of the validation is a
// Faults, which wraps ErrInvalid.
func ParseValid(text []byte) (*Document, error) {
	doc, err := Parse(text)
	if err != nil {
		return nil, err
	}
	if faults := doc.Validate(); len(faults) > 0 {
		return nil, faults
	}
	return doc, nil
}

// FaultsOf returns what is wrong with a text, whether it can't be read or has
// faults; nil means that it is a valid document.
func FaultsOf(text []byte) Faults {
	_, err := ParseValid(text)
	if err == nil {
		return nil
	}
	var faults Faults
	if errors.As(err, &faults) {
		return faults
	}
	var unread *strictyaml.Error
	if !errors.As(err, &unread) {
		return Faults{{Message: err.Error()}}
	}
	for _, p := range unread.Problems {
		faults = append(faults, Fault{Path: p.Field, Message: fmt.Sprintf("line %d: %s", p.Line, p.Message)})
	}
	return faults
}

// Marshal returns the document as YAML, with the defaults written out.
func Marshal(doc *Document) ([]byte, error) {
	return encode(doc)
}

// Digest returns the hex SHA-256 of a text.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}
