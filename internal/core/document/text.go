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

// Parse reads a document and sets the defaults of omitted fields. It doesn't
// validate. The error is a *strictyaml.Error, which names lines and fields, unless
// the text is longer than MaxTextBytes.
func Parse(text []byte) (*Document, error) {
	if len(text) > MaxTextBytes {
		return nil, fmt.Errorf("the document has %d bytes; at most %d are allowed", len(text), MaxTextBytes)
	}
	doc := &Document{}
	if err := strictyaml.Decode(text, doc); err != nil {
		return nil, err
	}
	return doc, nil
}

// ParseValid reads and validates a document. Errors are those of Parse and, from
// the validation, Faults, which wraps ErrInvalid.
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

// FaultsOf returns the faults of a text, those of reading it included; nil means
// that the text is a valid document.
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

// Marshal returns the document as YAML. Fields whose value is their default are
// written too.
func Marshal(doc *Document) ([]byte, error) {
	return encode(doc)
}

// Digest returns the lower-case hex SHA-256 of a text.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}
