package field

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestIsName(t *testing.T) {
	tests := []struct {
		text string
		want bool
	}{
		{"Content-Length", true},
		{"!#$%&'*+-.^_`|~09azAZ", true},
		{"", false},
		{"Content-Length ", false},
		{" Content-Length", false},
		{"X Odd", false},
		{"X\tOdd", false},
		{"X:", false},
		{"X\x00", false},
		{"X\x7f", false},
		{"X\xe9", false},
		{"é", false},
	}
	for _, tt := range tests {
		qt.Check(t, IsName(tt.text), qt.Equals, tt.want, qt.Commentf("%q", tt.text))
	}
}
