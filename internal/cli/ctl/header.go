package ctl

import (
	"bytes"
	"fmt"
	"regexp"
	"strconv"
)

// headerLine is the comment that get writes above the document, so that apply
// knows the version that the file was made from.
var headerLine = regexp.MustCompile(`^# document version (\d+), digest [0-9a-f]*\r?\n`)

// withHeader puts the header line above the text.
func withHeader(version uint64, digest string, text []byte) []byte {
	_, rest := splitHeader(text)
	return append(fmt.Appendf(nil, "# document version %d, digest %s\n", version, digest), rest...)
}

// splitHeader returns the version of the header line and the text below it; a
// text without one has version 0.
func splitHeader(text []byte) (uint64, []byte) {
	m := headerLine.FindSubmatch(text)
	if m == nil {
		return 0, text
	}
	version, err := strconv.ParseUint(string(m[1]), 10, 64)
	if err != nil {
		return 0, text
	}
	return version, bytes.TrimPrefix(text, m[0])
}
