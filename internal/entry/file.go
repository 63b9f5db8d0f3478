package entry

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"

	"plumpitch.example/plumpitch/pkg/address"
)

// File holds the settings of one entry process, which it can't get from the
// platform. It is read once at the start, from JSON with comments.
type File struct {
	Name      string   // unique among entries
	Region    string   // region of the VM
	Place     string   // failure domain of the VM
	Callers   string   // host:port of the callers' listener
	Peers     string   // host:port of the peers' listener
	Operators string   // host:port of the operators' listener
	Platform  string   // base URL of the platform's object store
	Seeds     []string // host:port of other entries' peer listeners, for joining
	Trace     string   // "off" or "stdout"
	Level     string   // least severe log level: debug, info, warn, error
	Memory    int      // megabytes that the process may use; 0 for those of the VM
	Files     int      // descriptors that the process may use; 0 for its limit
}

// fileWire is the JSON encoding of File.
type fileWire struct {
	Name      string   `json:"name"`
	Region    string   `json:"region"`
	Place     string   `json:"place"`
	Callers   string   `json:"callers"`
	Peers     string   `json:"peers"`
	Operators string   `json:"operators"`
	Platform  string   `json:"platform"`
	Seeds     []string `json:"seeds"`
	Trace     string   `json:"trace"`
	Level     string   `json:"level"`
	Memory    int      `json:"memory"`
	Files     int      `json:"files"`
}

// ReadFile reads, decodes and checks a settings file.
func ReadFile(path string) (f File, err error) {
	defer func() { err = errors.WithMessage(err, path) }()
	data, err := os.ReadFile(path)
	if err != nil {
		return f, err
	}
	return ParseFile(data)
}

// ParseFile decodes and checks the content of a settings file.
func ParseFile(data []byte) (f File, err error) {
	std, err := hujson.Standardize(data)
	if err != nil {
		return f, err
	}
	var w fileWire
	dec := json.NewDecoder(bytes.NewReader(std))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&w); err != nil {
		return f, errors.WithMessagef(err, "line %d", line(std, dec.InputOffset()))
	}
	f = File(w)
	f.setDefaults()
	return f, f.check()
}

// line returns the number of the line that contains an offset.
func line(data []byte, offset int64) int {
	return 1 + bytes.Count(data[:min(int(offset), len(data))], []byte("\n"))
}

func (f *File) setDefaults() {
	if f.Trace == "" {
		f.Trace = traceOff
	}
	if f.Level == "" {
		f.Level = "info"
	}
}

func (f File) check() error {
	for _, n := range []struct{ field, value string }{
		{"name", f.Name}, {"region", f.Region}, {"place", f.Place}, {"platform", f.Platform},
	} {
		if n.value == "" {
			return errors.Errorf("%s: found nothing, expected a value", n.field)
		}
	}
	for _, a := range []struct{ field, value string }{
		{"callers", f.Callers}, {"peers", f.Peers}, {"operators", f.Operators},
	} {
		if err := address.CheckListen(a.value); err != nil {
			return errors.WithMessage(err, a.field)
		}
	}
	for _, s := range f.Seeds {
		if err := address.Check(s); err != nil {
			return errors.WithMessage(err, "seeds")
		}
	}
	if !strings.HasPrefix(f.Platform, "http://") && !strings.HasPrefix(f.Platform, "https://") {
		return errors.Errorf("platform: found %q, expected an http or https URL", f.Platform)
	}
	for _, n := range []struct {
		field string
		value int
	}{{"memory", f.Memory}, {"files", f.Files}} {
		if n.value < 0 {
			return errors.Errorf("%s: found %d, expected a positive number", n.field, n.value)
		}
	}
	if f.Trace != traceOff && f.Trace != traceStdout {
		return errors.Errorf("trace: found %q, expected %q or %q", f.Trace, traceOff, traceStdout)
	}
	return nil
}
