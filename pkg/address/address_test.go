package address

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestCheck(t *testing.T) {
	tests := []struct {
		text         string
		dial, listen bool
	}{
		{"127.0.0.1:80", true, true},
		{"10.128.0.9:1", true, true},
		{"10.128.0.9:65535", true, true},
		{"[::1]:80", true, true},
		{"[fe80::1%eth0]:80", true, true},
		{"127.0.0.1:0", false, true},
		{"127.0.0.1:65536", false, false},
		{"127.0.0.1:99999", false, false},
		{"127.0.0.1:-1", false, false},
		{"127.0.0.1:+80", false, false},
		{"127.0.0.1:1e400", false, false},
		{"127.0.0.1:18446744073709551696", false, false},
		{"127.0.0.1:http", false, false},
		{"127.0.0.1:", false, false},
		{"127.0.0.1", false, false},
		{"127.0.0.1:80 ", false, false},
		{" 127.0.0.1:80", false, false},
		{"127.0.0.256:80", false, false},
		{"::1:80", false, false},
		{"localhost:80", false, false},
		{":80", false, false},
		{"nowhere", false, false},
		{"", false, false},
	}
	for _, tt := range tests {
		t.Run(tt.text, func(t *testing.T) {
			qt.Check(t, Check(tt.text) == nil, qt.Equals, tt.dial)
			qt.Check(t, CheckListen(tt.text) == nil, qt.Equals, tt.listen)
		})
	}
	qt.Check(t, Check("127.0.0.1:99999"), qt.ErrorMatches, `found "127.0.0.1:99999", expected an IP address and a port from 1 to 65535`)
}
