package operatorhttp

import (
	"sync"

	"sassafrasreach/internal/core/document"
	"sassafrasreach/internal/port"
)

// parsed keeps the newest document as parsed, because each authenticated
// request needs it and parsing a large one takes a few hundred milliseconds.
type parsed struct {
	mu      sync.Mutex
	version uint64
	digest  string
	doc     *document.Document
}

// get returns the document of a version, an empty one for none. It is shared
// and must not be altered.
func (p *parsed) get(config port.Config) (*document.Document, error) {
	if config.Version == 0 {
		return &document.Document{}, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.doc != nil && p.version == config.Version && p.digest == config.Digest {
		return p.doc, nil
	}
	doc, err := document.Parse(config.Document)
	if err != nil {
		return nil, err
	}
	p.version, p.digest, p.doc = config.Version, config.Digest, doc
	return doc, nil
}
