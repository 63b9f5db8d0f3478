package rawjson

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func texts(values []json.RawMessage) (list []string) {
	for _, v := range values {
		list = append(list, string(v))
	}
	return list
}

func TestElements(t *testing.T) {
	deep := strings.Repeat("[", 300_000) + strings.Repeat("]", 300_000)
	tests := []struct {
		name, text string
		want       []string
		err        string
	}{
		{"none", ` [ ] `, nil, ``},
		{"null", ` null`, nil, ``},
		{"values", "[1, \"a\" ,{\"b\":[2]}\n,[],null , true]", []string{`1`, `"a"`, `{"b":[2]}`, `[]`, `null`, `true`}, ``},
		{"brackets in strings", `["]","\"]\\",{"}":"{["}]`, []string{`"]"`, `"\"]\\"`, `{"}":"{["}`}, ``},
		{"invalid elements", `[nowhere,{a},"\x"]`, []string{`nowhere`, `{a}`, `"\x"`}, ``},
		{"deep", `[1,` + deep + `,2]`, []string{`1`, deep, `2`}, ``},
		{"object", `{}`, nil, `found another value, expected a list`},
		{"nothing", ` `, nil, `found nothing, expected a list`},
		{"cut", `[1,{"a":[2`, nil, `.*unexpected end.*`},
		{"cut in a string", `["\"]`, nil, `.*unexpected end.*`},
		{"no end", `[1`, nil, `.*unexpected end.*`},
		{"wrong bracket", `[{"a":]}]`, nil, `invalid JSON at byte 7: found an unexpected \]`},
		{"no comma", `[1 2]`, nil, `invalid JSON at byte 4, expected ,`},
		{"two commas", `[1,,2]`, nil, `invalid JSON at byte 4, expected a value`},
		{"comma at the end", `[1,]`, nil, `.*expected a value`},
		{"more", `[1] 2`, nil, `invalid JSON at byte 5, expected the end`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			got, err := Elements([]byte(tt.text))
			if tt.err != "" {
				c.Assert(err, qt.ErrorMatches, tt.err)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(texts(got), qt.DeepEquals, tt.want)
		})
	}
}

func TestFields(t *testing.T) {
	tests := []struct {
		name, text, a, b string
		err              string
	}{
		{"none", `{}`, ``, ``, ``},
		{"both", `{"b":{"a":1},"c":[{"b":2}],"a" : "x" }`, `"x"`, `{"a":1}`, ``},
		{"twice", `{"a":1,"a":2}`, `2`, ``, ``},
		{"escaped name", `{"\u0061":1}`, `1`, ``, ``},
		{"invalid name", `{"\x":1,"b":2}`, ``, `2`, ``},
		{"null", `{"a":null}`, `null`, ``, ``},
		{"list", `[]`, ``, ``, `found another value, expected an object`},
		{"name that is no string", `{1:2}`, ``, ``, `invalid JSON at byte 2, expected the name of a field`},
		{"no colon", `{"a" 1}`, ``, ``, `invalid JSON at byte 6, expected :`},
		{"no value", `{"a":}`, ``, ``, `.*expected a value`},
		{"cut", `{"a":1,`, ``, ``, `.*unexpected end.*`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			got, err := Fields([]byte(tt.text), "a", "b")
			if tt.err != "" {
				c.Assert(err, qt.ErrorMatches, tt.err)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(texts(got), qt.DeepEquals, []string{tt.a, tt.b})
		})
	}
}

func TestUnmarshalNamesDeepField(t *testing.T) {
	deep := strings.Repeat("[", MaxDepth) + strings.Repeat("]", MaxDepth)
	tests := []struct{ name, text, want string }{
		{"sound", `{"a":1}`, ``},
		{"as deep as possible", deep, `json: cannot unmarshal array .*`},
		{"list", `[` + deep + `]`, `nested deeper than 10000 levels`},
		{"field", `{"a":1,"b":` + deep + `}`, `b: nested deeper than 10000 levels`},
		{"field of a field", `{"a":{"c":1,"b":` + deep + `}}`, `a.b: nested .*`},
		{"third level", `{"a":{"b":{"c":` + deep + `}}}`, `a.b: nested .*`},
		{"invalid", `{"a":x}`, `invalid character 'x'.*`},
		{"type", `{"a":"x"}`, `json: .*`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var into struct{ A, B any }
			var number struct{ A int }
			err := Unmarshal([]byte(tt.text), &into)
			if tt.name == "type" {
				err = Unmarshal([]byte(tt.text), &number)
			}
			if tt.want == "" {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			qt.Assert(t, err, qt.ErrorMatches, tt.want)
		})
	}
}

func TestReader(t *testing.T) {
	tests := []struct {
		name, text string
		want       []string
		err        string
	}{
		{"nothing", ``, nil, `EOF`},
		{"lines", "{\"a\":1}\n{}\n", []string{`{"a":1}`, `{}`}, `EOF`},
		{"no lines", "{}{\n \"a\":[\"}\"]}", []string{`{}`, "{\n \"a\":[\"}\"]}"}, `EOF`},
		{"invalid object", `{x} {}`, []string{`{x}`, `{}`}, `EOF`},
		{"cut", `{} {"a":`, []string{`{}`}, `unexpected EOF`},
		{"no object", `{} 17`, []string{`{}`}, `found '1', expected an object`},
		{"wrong bracket", `{} {]}`, []string{`{}`}, `found an unexpected \]`},
		{"too long", `{} {"a":"0123456789"}`, []string{`{}`}, `found an object of more than 16 bytes`},
		{"blanks", strings.Repeat(" ", 16) + `{}`, nil, `found an object of more than 16 bytes`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			r := NewReader(strings.NewReader(tt.text), 16)
			var got []json.RawMessage
			object, err := r.Next()
			for ; err == nil; object, err = r.Next() {
				got = append(got, object)
			}
			c.Assert(err, qt.ErrorMatches, tt.err)
			c.Assert(texts(got), qt.DeepEquals, tt.want)
		})
	}
}

// Guards against a text that is split in another way than encoding/json reads it, and against one
// that makes the package fail.
func FuzzElements(f *testing.F) {
	for _, text := range []string{`[]`, `null`, `[1,"a\"]",{"b":[2,{}]},null]`, `[[[`, `{"a":1}`, `["\\",["]"]]`, `[1 ,2`, `{"\u0061":{},"a":7}`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := Elements(data)
		var want []json.RawMessage
		wantErr := json.Unmarshal(data, &want)
		if wantErr == nil && (err != nil || len(got) != len(want)) {
			t.Fatalf("found %d elements and %v, expected %d", len(got), err, len(want))
		}
		for i := range got {
			if wantErr == nil && !bytes.Equal(got[i], want[i]) {
				t.Fatalf("element %d: found %s, expected %s", i, got[i], want[i])
			}
		}
		if err == nil && wantErr != nil && !anyInvalid(got) {
			t.Fatalf("found valid elements, expected %v", wantErr)
		}
		var object map[string]json.RawMessage
		if json.Unmarshal(data, &object) == nil && object != nil {
			fields, err := Fields(data, "a")
			if err != nil || !bytes.Equal(fields[0], object["a"]) {
				t.Fatalf("found %s and %v, expected %s", fields, err, object["a"])
			}
		}
		r := NewReader(bytes.NewReader(data), 100)
		for {
			if _, err := r.Next(); err != nil {
				break
			}
		}
		_ = Unmarshal(data, &object)
	})
}

func anyInvalid(values []json.RawMessage) bool {
	for _, v := range values {
		if !json.Valid(v) {
			return true
		}
	}
	return false
}

// A reader passes the error of its stream on.
func TestReaderError(t *testing.T) {
	_, err := NewReader(io.MultiReader(strings.NewReader(`{"a":`), errReader{}), 100).Next()
	qt.Assert(t, err, qt.Equals, io.ErrClosedPipe)
}

type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, io.ErrClosedPipe }
