// Package tail measures the decisions of pkg/pool on a seeded fake of one
// service's targets in virtual time. It drives the very code that the entry
// drives, and is a fake at that interface only. The same seed gives the same
// bytes.
package tail

import (
	"io"
	"runtime"
	"sync"

	"github.com/pkg/errors"
)

// Config says what to measure.
type Config struct {
	Name     string // one of Names
	Seeds    int    // runs of each row; zero means 5
	Seed     uint64 // the first seed; zero means 1
	Requests int    // requests of each run; zero means 60000
	JSON     bool   // JSON lines instead of a table
	Plot     string // path of an SVG to write, or empty
}

const (
	defaultSeeds    = 5
	defaultRequests = 60000
	maxThreads      = 4
)

// Names lists the experiments.
func Names() (names []string) {
	for _, x := range experiments {
		names = append(names, x.name)
	}
	return names
}

// Run runs one experiment and prints its table.
func Run(cfg Config, w io.Writer) (err error) {
	defer func() { err = errors.WithMessagef(err, "experiment %s", cfg.Name) }()
	cfg = cfg.withDefaults()
	x, err := find(cfg.Name)
	if err != nil {
		return err
	}
	rows := x.rows(cfg.Requests)
	if err = measure(cfg, rows); err != nil {
		return err
	}
	close99(rows)
	if cfg.Plot != "" {
		if err = plotRows(x, rows, cfg.Plot); err != nil {
			return err
		}
	}
	if cfg.JSON {
		return writeJSON(w, cfg, rows)
	}
	return writeTable(w, cfg, x, rows)
}

func (c Config) withDefaults() Config {
	if c.Seeds == 0 {
		c.Seeds = defaultSeeds
	}
	if c.Seed == 0 {
		c.Seed = 1
	}
	if c.Requests == 0 {
		c.Requests = defaultRequests
	}
	return c
}

func find(name string) (x experiment, err error) {
	for _, x := range experiments {
		if x.name == name {
			return x, nil
		}
	}
	return x, errors.Errorf("name: found %q, expected one of %v", name, Names())
}

// measure runs every row with every seed, a few at a time. Each run stands
// alone, so the order in which they end does not matter.
func measure(cfg Config, rows []row) (err error) {
	results := make([]*stats, len(rows)*cfg.Seeds)
	fails := make([]error, len(results))
	next := make(chan int)
	var wait sync.WaitGroup
	for range min(maxThreads, runtime.GOMAXPROCS(0)) {
		wait.Go(func() {
			for i := range next {
				sc := rows[i/cfg.Seeds].sc
				sc.seed = cfg.Seed + uint64(i%cfg.Seeds)
				results[i], fails[i] = runOne(sc)
			}
		})
	}
	for i := range results {
		next <- i
	}
	close(next)
	wait.Wait()
	for i := range rows {
		if err = firstError(fails[i*cfg.Seeds : (i+1)*cfg.Seeds]); err != nil {
			return err
		}
		rows[i].sum(results[i*cfg.Seeds : (i+1)*cfg.Seeds])
	}
	return nil
}

func firstError(errs []error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func runOne(sc scenario) (t *stats, err error) {
	if sc.policy == omniscient {
		return mark(sc), nil
	}
	s, err := newSite(sc)
	if err != nil {
		return nil, err
	}
	return s.run(), nil
}
