package strictjson_test

import (
	"encoding/json"
	"errors"
	"reflect"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sassafrasreach/internal/core/strictjson"
)

type inner struct {
	Host  string   `json:"host"`
	Rate  *float64 `json:"rate"`
	Parts []string `json:"parts"`
}

type outer struct {
	Name  string  `json:"name"`
	Count int     `json:"count"`
	List  []inner `json:"list"`
}

// TestDecode guards against a text that another reader could read in another way, and
// against refusing one that has a single meaning.
func TestDecode(t *testing.T) {
	cases := []struct {
		name, source, path string
		ok, okKnown        bool
	}{
		{"plain", `{"name":"a","count":1,"list":[{"host":"h","rate":1.5,"parts":["x"]}]}`, "", true, true},
		{"order of keys, white space", " {\"count\" : 1,\n\"name\":\"a\"}\t", "", true, true},
		{"escapes", `{"name":"\u00fc\ud83d\ude00\\ud800\/\""}`, "", true, true},
		{"the character U+FFFD", "{\"name\":\"\ufffd\\ufffd\"}", "", true, true},
		{"null for a list and a pointer", `{"list":[{"host":"h","rate":null,"parts":null}]}`, "", true, true},
		{"unknown keys", `{"name":"a","more":{"name":null,"x":[1,{"Host":"h"}]}}`, "more", true, false},
		{"byte of Latin-1", "{\"name\":\"b\xfcro\"}", "name", false, false},
		{"byte beside the values", "{\"name\":\"a\"}\xff", "", false, false},
		{"overlong sequence", "{\"name\":\"\xc0\xaf\"}", "", false, false},
		{"encoded surrogate", "{\"name\":\"\xed\xa0\x80\"}", "name", false, false},
		{"byte in an unknown key", "{\"b\xfc\":1}", "", false, false},
		{"high half alone", `{"name":"\ud83d"}`, "name", false, false},
		{"low half alone", `{"name":"\ude00"}`, "", false, false},
		{"halves in the wrong order", `{"name":"\ude00\ud83d"}`, "", false, false},
		{"high half before another escape", `{"name":"\ud83d\u0041"}`, "", false, false},
		{"high half after an escaped backslash", `{"name":"\\\ud83d"}`, "", false, false},
		{"half in a key", `{"\uDEAD":1}`, "", false, false},
		{"key twice", `{"name":"a","name":"b"}`, "name", false, false},
		{"key twice, once escaped", `{"name":"a","\u006eame":"b"}`, "name", false, false},
		{"key twice within", `{"list":[{},{"host":"a","host":"a"}]}`, "list[1].host", false, false},
		{"unknown key twice", `{"more":[{"x":1,"x":2}]}`, "more[0].x", false, false},
		{"key in another case", `{"Name":"a"}`, "Name", false, false},
		{"key in another case beside it", `{"list":[{"host":"a","HOST":"b"}]}`, "list[0].HOST", false, false},
		{"key with a long s", `{"ho\u017ft":"a","li\u017ft":[]}`, "li\u017ft", false, false},
		{"null for a text", `{"name":null}`, "name", false, false},
		{"null for a number", `{"count":null}`, "count", false, false},
		{"null for an object", `{"list":[null]}`, "list[0]", false, false},
		{"null alone", `null`, "", false, false},
		{"number too large", `{"count":9223372036854775808}`, "count", false, false},
		{"number not whole", `{"count":1.5}`, "", false, false},
		{"text for a number", `{"count":"1"}`, "count", false, false},
		{"text for a list", `{"list":[{},{"parts":"secret"}]}`, "list[1].parts", false, false},
		{"object for a list", `{"list":[{},{"parts":{"secret":1}}]}`, "list[1].parts", false, false},
		{"object for a text", `{"list":[{"parts":["a",{"secret":1}]}]}`, "list[0].parts[1]", false, false},
		{"byte within a list", "{\"list\":[{\"parts\":[\"a\",\"secret\xfc\"]}]}", "list[0].parts[1]", false, false},
		{"two values", `{"name":"a"}{"name":"b"}`, "", false, false},
		{"data after the value", `{"name":"a"}]`, "", false, false},
		{"byte order mark", "\ufeff{}", "", false, false},
		{"empty", ``, "", false, false},
		{"cut", `{"name":"a"`, "", false, false},
		{"cut in an escape", `{"name":"\ud8`, "", false, false},
		{"NUL within a text", "{\"name\":\"a\x00\"}", "", false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			err := strictjson.Decode([]byte(c.source), &outer{})
			is.Equal(err == nil, c.ok)
			errKnown := strictjson.DecodeKnown([]byte(c.source), &outer{})
			is.Equal(errKnown == nil, c.okKnown)
			if err == nil {
				err = errKnown
			}
			var e *strictjson.Error
			if err != nil && strings.Contains(err.Error(), "secret") {
				t.Fatalf("the error shows a value: %v", err)
			}
			if errors.As(err, &e) && c.path != "" {
				is.Equal(e.Path, c.path)
			}
		})
	}
}

// TestAcceptedIsWhatWasSent guards against a text that is accepted and decoded to something
// else than it says.
func TestAcceptedIsWhatWasSent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := outer{
			Name: rapid.String().Draw(t, "name"), Count: rapid.Int().Draw(t, "count"),
			List: []inner{{Host: rapid.String().Draw(t, "host"), Parts: rapid.SliceOf(rapid.String()).Draw(t, "parts")}},
		}
		source, err := json.Marshal(sent)
		if err != nil {
			t.Fatal(err)
		}
		var got outer
		if err := strictjson.DecodeKnown(source, &got); err != nil {
			t.Fatalf("%s: %v", source, err)
		}
		if len(sent.List[0].Parts) == 0 {
			sent.List[0].Parts, got.List[0].Parts = nil, nil
		}
		if !reflect.DeepEqual(got, sent) {
			t.Fatalf("sent %+v, decoded %+v", sent, got)
		}
		// One byte is damaged.
		i := rapid.IntRange(0, len(source)-1).Draw(t, "at")
		source[i] = rapid.Byte().Draw(t, "byte")
		if err := strictjson.Decode(source, &got); err == nil && !utf8.Valid(source) {
			t.Fatalf("%q was accepted", source)
		}
	})
}
