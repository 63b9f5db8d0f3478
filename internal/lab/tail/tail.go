// Package tail compares load balancing policies by their tail latency. It
// simulates the callers, entries and targets of one service in virtual time.
// The balancers are those of pkg/pool that an entry runs; everything around
// them is simulated. The same seed prints the same bytes.
package tail

import (
	"io"
	"runtime"
	"sync"

	"github.com/pkg/errors"
)

// Config selects the experiment, its size and its output.
type Config struct {
	Name     string // one of Names
	Seeds    int    // runs per row, each with its own seed; 0 means 5
	Seed     uint64 // first seed; 0 means 1
	Requests int    // requests per run; 0 means 60000
	JSON     bool   // print JSON lines instead of a table
	Plot     string // path of the SVG file to write; empty for none
}

const (
	defaultSeeds    = 5
	defaultRequests = 60000
	maxParallelRuns = 4
)

// Names lists the experiments.
func Names() (names []string) {
	for _, x := range experiments {
		names = append(names, x.name)
	}
	return names
}

// Run runs one experiment and prints its results.
func Run(cfg Config, w io.Writer) (err error) {
	defer func() { err = errors.WithMessagef(err, "experiment %s", cfg.Name) }()
	cfg = cfg.withDefaults()
	x, err := findExperiment(cfg.Name)
	if err != nil {
		return err
	}
	rows := x.rows(cfg.Requests)
	if err = runAll(cfg, rows); err != nil {
		return err
	}
	computeGapClosed(rows)
	if cfg.Plot != "" {
		if err = writePlot(x, rows, cfg.Plot); err != nil {
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

func findExperiment(name string) (x experiment, err error) {
	for _, x := range experiments {
		if x.name == name {
			return x, nil
		}
	}
	return x, errors.Errorf("name: found %q, expected one of %v", name, Names())
}

// runAll runs every row with every seed, up to maxParallelRuns at a time. The
// runs share no state, so the results don't depend on their order.
func runAll(cfg Config, rows []row) (err error) {
	results := make([]*stats, len(rows)*cfg.Seeds)
	errs := make([]error, len(results))
	indices := make(chan int)
	var wg sync.WaitGroup
	for range min(maxParallelRuns, runtime.GOMAXPROCS(0)) {
		wg.Go(func() {
			for i := range indices {
				sc := rows[i/cfg.Seeds].sc
				sc.seed = cfg.Seed + uint64(i%cfg.Seeds)
				results[i], errs[i] = runOne(sc)
			}
		})
	}
	for i := range results {
		indices <- i
	}
	close(indices)
	wg.Wait()
	for i := range rows {
		if err = firstError(errs[i*cfg.Seeds : (i+1)*cfg.Seeds]); err != nil {
			return err
		}
		rows[i].aggregate(results[i*cfg.Seeds : (i+1)*cfg.Seeds])
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
	if sc.policy == policyOmniscient {
		return runOmniscient(sc), nil
	}
	s, err := newSimulator(sc)
	if err != nil {
		return nil, err
	}
	return s.run(), nil
}
