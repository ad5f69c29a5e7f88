package document

import "bytes"

const (
	// nodeBytes is what reading a node of the YAML text takes at most: a scalar, a list or
	// a mapping, as a node and as a value of the document.
	nodeBytes = 512
	// textCopies is how many times its size the text itself takes besides.
	textCopies = 2
)

// nodeMarks are the marks of YAML by the number of nodes that each may add. The end of a line
// or an element ends a scalar; a colon may begin a mapping besides its value.
var nodeMarks = map[int][]string{
	1: {",", "[", "{", "\n", "\r", "- ", "-\t", "-\n", "-\r"},
	2: {": ", ":\t", ":\n", ":\r", `":`, "':"},
}

// ParseBytes returns an upper estimate of the memory that reading a text takes. A short text
// of many small nodes takes over a hundred times its size.
func ParseBytes(text []byte) int64 {
	nodes := 1 - bytes.Count(text, []byte("\n#")) // lines that are comments
	for adds, marks := range nodeMarks {
		for _, mark := range marks {
			nodes += adds * bytes.Count(text, []byte(mark))
		}
	}
	return int64(nodes)*nodeBytes + textCopies*int64(len(text))
}
