package strictjson

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
)

// frame is an object or a list that a byte of a text stands in.
type frame struct {
	isList bool
	// index is that of the list's current element, and key the object's current key.
	// atKey is true where the object's next token is a key.
	index int
	key   string
	atKey bool
}

// locate returns the path of the value that holds the byte at an offset, such as
// listeners[0].host. It is that of the enclosing object or list for a byte of a key, and as
// far as the text is JSON.
func locate(source []byte, offset int64) string {
	d := json.NewDecoder(bytes.NewReader(source))
	var frames []frame
	for {
		token, err := d.Token()
		if err != nil {
			return pathOf(frames)
		}
		last := len(frames) - 1
		isKey := last >= 0 && frames[last].atKey
		ends := token == json.Delim('}') || token == json.Delim(']')
		switch {
		case d.InputOffset() > offset && (isKey || ends):
			return pathOf(frames[:last])
		case d.InputOffset() > offset:
			return pathOf(frames)
		case ends:
			frames = advance(frames[:last])
		case isKey:
			frames[last].key, frames[last].atKey = token.(string), false
		case token == json.Delim('{'):
			frames = append(frames, frame{atKey: true})
		case token == json.Delim('['):
			frames = append(frames, frame{isList: true})
		default:
			frames = advance(frames)
		}
	}
}

// advance goes on to the next element or key after a value has ended.
func advance(frames []frame) []frame {
	if last := len(frames) - 1; last >= 0 {
		frames[last].index++
		frames[last].atKey = !frames[last].isList
	}
	return frames
}

// pathOf returns the path of the current value.
func pathOf(frames []frame) string {
	var path strings.Builder
	for _, f := range frames {
		switch {
		case f.isList:
			path.WriteString("[" + strconv.Itoa(f.index) + "]")
		case !f.atKey:
			path.WriteString("." + f.key)
		}
	}
	return strings.TrimPrefix(path.String(), ".")
}
