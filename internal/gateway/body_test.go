package gateway

import (
	"io"
	"math"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/route"
)

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
		{"shorter than its length", 8, 5, "", io.ErrUnexpectedEOF},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			r := httptest.NewRequest("POST", "/", struct{ io.Reader }{strings.NewReader("veil")})
			r.ContentLength = tt.length
			body, err := readBody(r, route.Limits{MaxBodyBytes: tt.limit})
			c.Assert(err, qt.Equals, tt.err)
			if err == nil {
				c.Assert(string(body), qt.Equals, tt.want)
			}
		})
	}
}
