package gateway

import (
	"bytes"
	"fmt"
	"io"
	"math"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/route"
)

// brokenBody is a body whose connection ends after some bytes, as net/http reports it.
type brokenBody struct{ io.Reader }

func (b brokenBody) Read(p []byte) (n int, err error) {
	if n, err = b.Reader.Read(p); err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// Guards against a body that broke off and reaches a target as if it were complete.
func TestBrokenBody(t *testing.T) {
	for _, bytes := range []int{0, 1, 4, 4 << 10, 4<<10 + 1, 200_000} {
		t.Run(fmt.Sprint(bytes), func(t *testing.T) {
			c := qt.New(t)
			r := httptest.NewRequest("POST", "/", brokenBody{strings.NewReader(strings.Repeat("v", bytes))})
			r.ContentLength = -1
			_, err := readBody(r, route.Limits{MaxBodyBytes: 1 << 20}, func(int64) error { return nil })
			c.Assert(err, qt.Equals, io.ErrUnexpectedEOF)
		})
	}
}

// Guards against a body that reaches a target empty or in part, whatever the limit.
func TestReadBody(t *testing.T) {
	tests := []struct {
		name   string
		limit  int64
		length int64 // Content-Length; negative for chunked
		want   string
		err    error
	}{
		{"below the limit", 8, 4, "veil", nil},
		{"at the limit", 4, 4, "veil", nil},
		{"above the limit", 3, 4, "", errBodyTooLong},
		{"chunked, at the limit", 4, -1, "veil", nil},
		{"chunked, above the limit", 3, -1, "", errBodyTooLong},
		{"largest limit", math.MaxInt64, 4, "veil", nil},
		{"largest limit, chunked", math.MaxInt64, -1, "veil", nil},
		{"several parts", 1 << 20, 300_000, "", nil},
		{"several parts, chunked", 1 << 20, -1, "", nil},
		{"shorter than its length", 8, 5, "", io.ErrUnexpectedEOF},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			text := "veil"
			if tt.err == nil && tt.want == "" {
				text = strings.Repeat("v", 300_000)
				tt.want = text
			}
			r := httptest.NewRequest("POST", "/", struct{ io.Reader }{strings.NewReader(text)})
			r.ContentLength = tt.length
			body, err := readBody(r, route.Limits{MaxBodyBytes: tt.limit}, func(int64) error { return nil })
			c.Assert(err, qt.Equals, tt.err)
			if err == nil {
				c.Assert(string(bytes.Join(body, nil)), qt.Equals, tt.want)
			}
		})
	}
}
