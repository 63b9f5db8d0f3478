// Package faults drives random pairs of faults against the decision code of
// pkg/claim, pkg/ring and pkg/call in virtual time, and counts what must not
// happen.
package faults

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"sync"

	"github.com/olekukonko/tablewriter"
	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/pkg/claim"
)

const defaultSeeds = 1000

// Config of an experiment.
type Config struct {
	Seed  uint64 // of the first run
	Seeds int    // runs, each with the next seed; default 1000
	JSON  bool   // print one JSON object instead of a table
}

// Counts of one run or of several.
type Counts struct {
	Doubled int // keys that ran again
	Crossed int // answers that belong to another request
	Lost    int // requests that got no result though their entry lived on
	False   int // requests that ran though their caller was told not
	Tries   int // requests, resends included
	Runs    int
	Writes  int // of the ring in the store
	results [5]int
}

// bad tells whether something happened that must not.
func (c Counts) bad() bool {
	return c.Doubled+c.Crossed+c.Lost+c.False > 0
}

func (c *Counts) add(o Counts) {
	c.Doubled += o.Doubled
	c.Crossed += o.Crossed
	c.Lost += o.Lost
	c.False += o.False
	c.Tries += o.Tries
	c.Runs += o.Runs
	c.Writes += o.Writes
	for i := range c.results {
		c.results[i] += o.results[i]
	}
}

// outcome is what one seed gave.
type outcome struct {
	seed   uint64
	pair   [2]Fault
	counts Counts
}

// Run makes the runs and prints the counts, and each seed that went wrong. It
// fails when one did.
func Run(cfg Config, w io.Writer) (err error) {
	defer func() { err = errors.WithMessage(err, "faults") }()
	if cfg.Seeds <= 0 {
		cfg.Seeds = defaultSeeds
	}
	return report(cfg, w, play(cfg))
}

func report(cfg Config, w io.Writer, outcomes []outcome) (err error) {
	var all Counts
	var wrong []outcome
	for _, o := range outcomes {
		all.add(o.counts)
		if o.counts.bad() {
			wrong = append(wrong, o)
		}
	}
	if err = write(cfg, w, all, wrong); err != nil {
		return err
	}
	if len(wrong) > 0 {
		return errors.Errorf("%d of %d seeds went wrong, the first is %d", len(wrong), cfg.Seeds, wrong[0].seed)
	}
	return nil
}

// play makes the runs on the processors that Go may use.
func play(cfg Config) []outcome {
	out := make([]outcome, cfg.Seeds)
	next := make(chan int)
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for i := range next {
				out[i] = one(cfg.Seed + uint64(i))
			}
		})
	}
	for i := range out {
		next <- i
	}
	close(next)
	wg.Wait()
	return out
}

// one makes the run of a seed: two faults, perhaps the same twice.
func one(seed uint64) outcome {
	r := rand.New(rand.NewPCG(seed, 1))
	pair := [2]Fault{Fault(r.IntN(int(kinds))), Fault(r.IntN(int(kinds)))}
	return outcome{seed: seed, pair: pair, counts: strikes(seed, pair)}
}

func strikes(seed uint64, pair [2]Fault) Counts {
	w := build(seed, entries)
	plans := w.callers()
	if pair[0].lasting() || pair[1].lasting() {
		w.late()
	}
	for _, f := range pair {
		w.strike(f, plans)
	}
	w.run()
	w.counts.Tries = len(w.tries)
	for _, t := range w.tries {
		if !t.over && !t.node.dead {
			w.counts.Lost++
		}
	}
	return w.counts
}

type countsJSON struct {
	Seed      uint64   `json:"seed"`
	Seeds     int      `json:"seeds"`
	Doubled   int      `json:"doubled"`
	Crossed   int      `json:"crossed"`
	Lost      int      `json:"lost"`
	FalseNot  int      `json:"false_not_run"`
	Requests  int      `json:"requests"`
	Runs      int      `json:"runs"`
	Fresh     int      `json:"fresh"`
	Replayed  int      `json:"replayed"`
	Unknown   int      `json:"unknown"`
	NotRun    int      `json:"not_run"`
	Conflicts int      `json:"conflicts"`
	Writes    int      `json:"ring_writes"`
	Wrong     []uint64 `json:"wrong_seeds,omitempty"`
}

func write(cfg Config, w io.Writer, c Counts, wrong []outcome) error {
	if cfg.JSON {
		return json.NewEncoder(w).Encode(toJSON(cfg, c, wrong))
	}
	fmt.Fprintf(w, "%d pairs of faults, seeds %d to %d\n", cfg.Seeds, cfg.Seed, cfg.Seed+uint64(cfg.Seeds)-1)
	table := tablewriter.NewWriter(w)
	table.SetHeader([]string{"count", "", "must be"})
	for _, r := range []struct {
		name string
		n    int
		must string
	}{
		{"doubled", c.Doubled, "0"},
		{"crossed", c.Crossed, "0"},
		{"lost", c.Lost, "0"},
		{"false not-run", c.False, "0"},
		{"requests", c.Tries, ""},
		{"runs", c.Runs, ""},
		{"answered fresh", c.results[claim.Fresh], ""},
		{"answered from the record", c.results[claim.Replay], ""},
		{"told unknown", c.results[claim.Uncertain], ""},
		{"told not-run", c.results[claim.NotRun], ""},
		{"told that the key is used", c.results[claim.Conflict], ""},
		{"writes of the ring", c.Writes, ""},
	} {
		table.Append([]string{r.name, fmt.Sprint(r.n), r.must})
	}
	table.Render()
	for _, o := range wrong {
		fmt.Fprintf(w, "seed %d: %s and %s: doubled %d, crossed %d, lost %d, false not-run %d\n",
			o.seed, o.pair[0], o.pair[1], o.counts.Doubled, o.counts.Crossed, o.counts.Lost, o.counts.False)
	}
	return nil
}

func toJSON(cfg Config, c Counts, wrong []outcome) countsJSON {
	j := countsJSON{
		Seed:      cfg.Seed,
		Seeds:     cfg.Seeds,
		Doubled:   c.Doubled,
		Crossed:   c.Crossed,
		Lost:      c.Lost,
		FalseNot:  c.False,
		Requests:  c.Tries,
		Runs:      c.Runs,
		Fresh:     c.results[claim.Fresh],
		Replayed:  c.results[claim.Replay],
		Unknown:   c.results[claim.Uncertain],
		NotRun:    c.results[claim.NotRun],
		Conflicts: c.results[claim.Conflict],
		Writes:    c.Writes,
	}
	for _, o := range wrong {
		j.Wrong = append(j.Wrong, o.seed)
	}
	return j
}
