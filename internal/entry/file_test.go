package entry

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const goodFile = `{"name": "a", "region": "r", "place": "p", "callers": "127.0.0.1:0", "peers": "127.0.0.1:7002",
"operators": "127.0.0.1:7003", "platform": "http://127.0.0.1:7400", "seeds": ["10.0.0.2:7002"]}`

// Guards against a settings file whose ports nothing can listen on.
func TestAddressesInFile(t *testing.T) {
	tests := []struct{ name, before, after, want string }{
		{"good", "", "", ""},
		{"port of a listener", "127.0.0.1:0", "127.0.0.1:65536", `callers: found "127.0.0.1:65536", .*`},
		{"port that is no number", "127.0.0.1:7002", "127.0.0.1:1e400", `peers: found .*`},
		{"host name", "127.0.0.1:7003", "localhost:7003", `operators: found .*`},
		{"port of a seed", "10.0.0.2:7002", "10.0.0.2:0", `seeds: found "10.0.0.2:0", .*`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := ParseFile([]byte(strings.Replace(goodFile, tt.before, tt.after, 1)))
			if tt.want == "" {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			qt.Assert(t, err, qt.ErrorMatches, tt.want)
		})
	}
}
