package call

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestParseHeader(t *testing.T) {
	tests := []struct {
		name string
		in   http.Header
		want Header
		err  string
	}{
		{"none", http.Header{}, Header{}, ""},
		{"all", http.Header{HeaderTimeout: {"250ms"}, HeaderAttempt: {"1"}, HeaderDepth: {"28"}}, Header{250 * time.Millisecond, true, 1, 28}, ""},
		{"expired", http.Header{HeaderTimeout: {"0s"}}, Header{HasTimeout: true}, ""},
		{"no unit", http.Header{HeaderTimeout: {"250"}}, Header{}, `header Plumpitch-Timeout: found "250", expected a duration with unit .*`},
		{"negative", http.Header{HeaderTimeout: {"-1ms"}}, Header{}, `header Plumpitch-Timeout: found "-1ms", .*`},
		{"timeout too long", http.Header{HeaderTimeout: {"61m"}}, Header{}, `header Plumpitch-Timeout: found "61m", .*`},
		{"overflow", http.Header{HeaderTimeout: {"99999999999h"}}, Header{}, `header Plumpitch-Timeout: .*`},
		{"empty", http.Header{HeaderTimeout: {""}}, Header{}, `header Plumpitch-Timeout: found "", .*`},
		{"two values", http.Header{HeaderTimeout: {"1s", "2s"}}, Header{}, `header Plumpitch-Timeout: found "1s, 2s", expected one value`},
		{"attempt", http.Header{HeaderAttempt: {"+1"}}, Header{}, `header Plumpitch-Attempt: found "\+1", expected a whole number from 0 to 1000`},
		{"depth", http.Header{HeaderDepth: {"1001"}}, Header{}, `header Plumpitch-Depth: found "1001", expected a whole number from 0 to 1000`},
		{"long value", http.Header{HeaderDepth: {strings.Repeat("9", 9000)}}, Header{}, `header Plumpitch-Depth: found "9{64}\.\.\.", .*`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			got, err := ParseHeader(tt.in)
			c.Assert(got, qt.Equals, tt.want)
			if tt.err == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(err, qt.ErrorMatches, tt.err)
		})
	}
}

func FuzzParseHeader(f *testing.F) {
	f.Add("250ms", "0", "0")
	f.Add("1h0m0.000000001s", "1000", "1001")
	f.Add("-0s", "-0", "0x1")
	f.Add("\x00", "1e3", "٣")
	f.Fuzz(func(t *testing.T, timeout, attempt, depth string) {
		p, err := ParseHeader(http.Header{HeaderTimeout: {timeout}, HeaderAttempt: {attempt}, HeaderDepth: {depth}})
		if err != nil {
			if p != (Header{}) || len(err.Error()) > 600 {
				t.Fatalf("%+v with error %v", p, err)
			}
			return
		}
		if p.Timeout < 0 || p.Timeout > maxTimeout || p.Attempt < 0 || p.Attempt > maxCount || p.Depth < 0 || p.Depth > maxCount {
			t.Fatalf("%+v", p)
		}
	})
}

// Different requests whose concatenated parts are equal must have different fingerprints.
func TestFingerprint(t *testing.T) {
	c := qt.New(t)
	seen := map[uint64]int{}
	for i, fp := range []uint64{
		Fingerprint("a", "GET", "/b", "c", 0), Fingerprint("aG", "ET", "/b", "c", 0), Fingerprint("a", "GET", "/bc", "", 0),
		Fingerprint("a", "GET", "/b", "c", 1), Fingerprint("a", "POST", "/b", "c", 0), Fingerprint("a", "GET", "/b", "", 0),
	} {
		_, duplicate := seen[fp]
		c.Assert(duplicate, qt.IsFalse, qt.Commentf("%d and %d", i, seen[fp]))
		seen[fp] = i
	}
	c.Assert(Fingerprint("a", "GET", "/b", "c", 0), qt.Equals, Fingerprint("a", "GET", "/b", "c", 0))
}
