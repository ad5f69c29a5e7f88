package ctl

import (
	"bytes"
	"fmt"
	"regexp"
	"strconv"
)

// headerLine matches the comment that get writes above the document, so that apply
// can read the version that the file was made from.
var headerLine = regexp.MustCompile(`^# document version (\d+), digest [0-9a-f]*\r?\n`)

// withHeader returns the text with a header line above it, in place of any that it
// has already.
func withHeader(version uint64, digest string, text []byte) []byte {
	_, rest := splitHeader(text)
	return append(fmt.Appendf(nil, "# document version %d, digest %s\n", version, digest), rest...)
}

// splitHeader returns the version in the header line and the text below it. For a
// text without a header line it returns version 0 and the whole text.
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
