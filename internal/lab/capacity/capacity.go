// Package capacity measures how the cost of the control plane grows with the
// number of entries, services and workers: bytes, CPU time, memory and the time
// until a change has reached all entries. It prints the points and the slope of
// each series. docs/CAPACITY.md multiplies the slopes by the size of the
// deployment to design for.
package capacity

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Config configures a measurement.
type Config struct {
	Entries       []int         // numbers of entries in virtual time; empty means 14, 50, 100, 200, 300
	Loopback      []int         // numbers of entries with real connections; empty means 14, 50, 100, 200
	Seeds         int           // runs of each size in virtual time; 0 means 5
	QuietTime     time.Duration // length of a measurement without events, in virtual or real time; 0 means 20 s
	SettleTime    time.Duration // wait before a measurement with real connections; 0 means 10 s
	Exchanges     int           // gossip exchanges of each message size; 0 means 3000
	PartitionTime time.Duration // time that a region is partitioned before an edit; 0 means 10 min
	Part          string        // name of the only part to run; empty runs all
}

// part is a named group of series.
type part struct {
	name       string
	run        func(cfg Config, m *messageSizes, w io.Writer) error
	needsSizes bool // needs the message sizes that wire and settings measure
}

// messageSizes holds the sizes that the parts wire and settings measure for the
// later parts.
type messageSizes struct {
	httpOverhead  int // bytes of HTTP beside the body of each message
	settingsBytes int // bytes of a settings response with one edit
}

func parts() []part {
	return []part{
		{"wire", runWire, false},
		{"settings", runSettings, false},
		{"quiet", runQuiet, true},
		{"notice", runNotice, true},
		{"events", runEvents, true},
		{"apart", runPartition, true},
		{"memory", runMemory, false},
		{"store", runStore, false},
		{"loopback", runLoopback, false},
	}
}

// Run measures and prints all parts, or the one that Config.Part names.
func Run(cfg Config, w io.Writer) (err error) {
	defer func() { err = errors.WithMessage(err, "capacity") }()
	cfg = cfg.withDefaults()
	selected, err := selectParts(cfg.Part)
	if err != nil {
		return err
	}
	sizes := &messageSizes{}
	for _, p := range selected {
		out := w
		if cfg.Part != "" && cfg.Part != p.name {
			out = io.Discard // run only for the sizes that it measures
		}
		fmt.Fprintf(out, "\n## %s\n\n", p.name)
		if err := p.run(cfg, sizes, out); err != nil {
			return errors.WithMessage(err, p.name)
		}
	}
	return nil
}

// selectParts returns the part with the given name, preceded by wire and settings
// if it needs the sizes that they measure. An empty name selects all parts.
func selectParts(name string) (selected []part, err error) {
	all := parts()
	if name == "" {
		return all, nil
	}
	var names []string
	for _, p := range all {
		names = append(names, p.name)
		if p.name != name {
			continue
		}
		if p.needsSizes {
			selected = append(selected, all[:sourceParts]...)
		}
		return append(selected, p), nil
	}
	return nil, errors.Errorf("part: found %q, expected one of %s", name, strings.Join(names, ", "))
}

// sourceParts is the number of parts, from the first, that measure sizes for
// the later parts.
const sourceParts = 2

func (c Config) withDefaults() Config {
	if len(c.Entries) == 0 {
		c.Entries = []int{14, 50, 100, 200, 300}
	}
	if len(c.Loopback) == 0 {
		c.Loopback = []int{14, 50, 100, 200}
	}
	if c.Seeds <= 0 {
		c.Seeds = 5
	}
	if c.QuietTime <= 0 {
		c.QuietTime = 20 * time.Second
	}
	if c.SettleTime <= 0 {
		c.SettleTime = 10 * time.Second
	}
	if c.Exchanges <= 0 {
		c.Exchanges = 3000
	}
	if c.PartitionTime <= 0 {
		c.PartitionTime = 10 * time.Minute
	}
	return c
}
