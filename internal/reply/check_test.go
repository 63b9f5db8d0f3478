package reply

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against headers that are taken for two heads, and two heads that are taken for one.
func TestContainsStatusLine(t *testing.T) {
	tests := []struct {
		value string
		want  bool
	}{
		{"aHTTP/1.1 200 OK", true},
		{"HTTP/1.0 503", true},
		{"HTTP/1.HTTP/1.1 421 Misdirected Request", true},
		{"HTTP/1.1 proxy.example", false},
		{"1.1 proxy.example", false},
		{"SimpleHTTP/1.1", false},
		{"HTTP/1.1 20", false},
		{"HTTP/2.0 200", false},
		{"", false},
	}
	for _, tt := range tests {
		qt.Check(t, containsStatusLine(tt.value), qt.Equals, tt.want, qt.Commentf("%q", tt.value))
	}
}
