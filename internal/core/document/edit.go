package document

import (
	"bytes"
	"fmt"

	"go.yaml.in/yaml/v3"
)

// drainsKey is the YAML name of Document.Drains.
const drainsKey = "drains"

// ReplaceDrains returns the text of a document with its drains replaced. Comments
// and the order of all other fields are kept; blank lines and indentation are not.
// The error wraps ErrInvalid when the text is empty or its top level isn't a
// mapping.
func ReplaceDrains(text []byte, drains []Drain) ([]byte, error) {
	var root yaml.Node
	if err := yaml.Unmarshal(text, &root); err != nil {
		return nil, fmt.Errorf("replace the drains: %w", err)
	}
	if len(root.Content) == 0 || root.Content[0].Kind != yaml.MappingNode {
		return nil, fmt.Errorf("replace the drains: %w: the top level isn't a mapping of fields such as regions and places", ErrInvalid)
	}
	fields := root.Content[0]
	removeField(fields, drainsKey)
	if len(drains) > 0 {
		var value yaml.Node
		if err := value.Encode(drains); err != nil {
			return nil, fmt.Errorf("replace the drains: %w", err)
		}
		key := &yaml.Node{Kind: yaml.ScalarNode, Value: drainsKey}
		fields.Content = append(fields.Content, key, &value)
	}
	return encode(&root)
}

// removeField removes a key and its value from a mapping node.
func removeField(fields *yaml.Node, key string) {
	for i := 0; i+1 < len(fields.Content); i += 2 {
		if fields.Content[i].Value == key {
			fields.Content = append(fields.Content[:i], fields.Content[i+2:]...)
			return
		}
	}
}

// encode returns a value as YAML, indented by yamlIndent.
func encode(value any) ([]byte, error) {
	var text bytes.Buffer
	encoder := yaml.NewEncoder(&text)
	encoder.SetIndent(yamlIndent)
	if err := encoder.Encode(value); err != nil {
		return nil, fmt.Errorf("marshal the document: %w", err)
	}
	if err := encoder.Close(); err != nil {
		return nil, fmt.Errorf("marshal the document: %w", err)
	}
	return text.Bytes(), nil
}
