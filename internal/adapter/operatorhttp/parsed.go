package operatorhttp

import (
	"sync"

	"sassafrasreach/internal/core/document"
	"sassafrasreach/internal/port"
)

// documentCache caches the parsed document of one version, because each
// authenticated request needs it and parsing a large document takes a few
// hundred milliseconds.
type documentCache struct {
	mu      sync.Mutex
	version uint64
	digest  string
	doc     *document.Document
}

// parse returns the parsed document of config, or an empty one for version 0. The
// returned document is shared and must not be modified.
func (c *documentCache) parse(config port.Config) (*document.Document, error) {
	if config.Version == 0 {
		return &document.Document{}, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.doc != nil && c.version == config.Version && c.digest == config.Digest {
		return c.doc, nil
	}
	doc, err := document.Parse(config.Document)
	if err != nil {
		return nil, err
	}
	c.version, c.digest, c.doc = config.Version, config.Digest, doc
	return doc, nil
}
