package pace

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/olekukonko/tablewriter"
	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgsvg" // the SVG format of Save
)

// Config configures an experiment.
type Config struct {
	Seeds  int           // runs of each row; 0 means 5
	Seed   uint64        // the first seed; 0 means 1
	Length time.Duration // virtual time during which requests arrive; 0 means 32 s
	JSON   bool          // prints JSON lines instead of a table
	Plot   string        // path of an SVG to write; none if empty
	Shape  string        // name of the service's shape; empty means "standard"
}

const (
	defaultSeeds  = 5
	defaultLength = 32 * time.Second
)

// loads are the shares of the capacity at which each policy is measured: a quiet
// day, a busy day, and overload.
var loads = []float64{0.25, 0.6, 1.3}

// pollInterval is the period of the policy that probes all targets periodically.
const pollInterval = 40 * time.Millisecond

// policies returns the policies to compare.
func policies(s Shape) []policy {
	return []policy{
		{name: "random, at all entries", chooseEntry: anyEntry, newChooser: newRandom},
		{name: "least in flight x pace, at all entries", chooseEntry: anyEntry, newChooser: newLeastLoaded},
		{name: "the same, one entry a place", chooseEntry: oneEntryPerPlace, newChooser: newLeastLoaded},
		{name: "the same, all targets asked each 40 ms", chooseEntry: oneEntryPerPlace, newChooser: newLeastLoaded, pollInterval: pollInterval},
		{name: "asks none, two entries, at most its slots", chooseEntry: firstTwoEntries, newChooser: balancerWith(s.Slots, -1)},
		{name: "asks 2, two entries, at most its slots", chooseEntry: firstTwoEntries, newChooser: balancerWith(s.Slots, 2)},
		{name: "asks 4, all entries, at most its slots", chooseEntry: anyEntry, newChooser: balancerWith(s.Slots, 4)},
		{name: "asks 4, one entry a place, at most its slots", chooseEntry: oneEntryPerPlace, newChooser: balancerWith(s.Slots, 4)},
		{name: "asks 4, two entries, at most its slots", chooseEntry: firstTwoEntries, newChooser: balancerWith(s.Slots, 4)},
		{name: "asks 4, one entry, at most its slots", chooseEntry: firstEntry, newChooser: balancerWith(s.Slots, 4)},
		{name: "asks 4, one entry, at most 1 at a target", chooseEntry: firstEntry, newChooser: balancerWith(1, 4)},
	}
}

// row is the result of a policy: one value for each load.
type row struct {
	Policy string    `json:"way"`
	Scores []float64 `json:"worth"`
	Probes []float64 `json:"questions"` // per attempt of a caller
}

// Run measures all policies and prints the results.
func Run(cfg Config, w io.Writer) (err error) {
	defer func() { err = errors.WithMessage(err, "experiment pace") }()
	if cfg.Seeds <= 0 {
		cfg.Seeds = defaultSeeds
	}
	if cfg.Seed == 0 {
		cfg.Seed = 1
	}
	if cfg.Length <= 0 {
		cfg.Length = defaultLength
	}
	shape, ok := shapes[cmp.Or(cfg.Shape, "standard")]
	if !ok {
		return errors.Errorf("shape: found %q, expected one of %v", cfg.Shape, slices.Sorted(maps.Keys(shapes)))
	}
	rows := runAll(shape(), cfg)
	if cfg.Plot != "" {
		if err := writePlot(rows, cfg.Plot); err != nil {
			return err
		}
	}
	if cfg.JSON {
		enc := json.NewEncoder(w)
		for _, r := range rows {
			if err := enc.Encode(r); err != nil {
				return err
			}
		}
		return nil
	}
	writeTable(w, rows)
	return nil
}

// runAll runs each policy at each load and returns the means over the seeds.
func runAll(s Shape, cfg Config) (rows []row) {
	for _, p := range policies(s) {
		r := row{Policy: p.name}
		for _, load := range loads {
			score, probes := 0.0, 0.0
			for i := range cfg.Seeds {
				st := run(s, p, load, cfg.Length, cfg.Seed+uint64(i))
				score += st.score(s) / float64(cfg.Seeds)
				probes += float64(st.probes) / float64(max(st.attempts, 1)) / float64(cfg.Seeds)
			}
			r.Scores, r.Probes = append(r.Scores, score), append(r.Probes, probes)
		}
		rows = append(rows, r)
	}
	return rows
}

func writeTable(w io.Writer, rows []row) {
	t := tablewriter.NewWriter(w)
	header := []string{"way"}
	for _, l := range loads {
		header = append(header, fmt.Sprintf("worth at %.0f %%", 100*l))
	}
	t.SetHeader(append(header, "questions a request, quiet"))
	t.SetAutoFormatHeaders(false)
	t.SetAutoWrapText(false)
	t.SetBorders(tablewriter.Border{Left: true, Right: true})
	t.SetCenterSeparator("|")
	for _, r := range rows {
		line := []string{r.Policy}
		for _, v := range r.Scores {
			line = append(line, fmt.Sprintf("%.3f", v))
		}
		t.Append(append(line, fmt.Sprintf("%.1f", r.Probes[0])))
	}
	t.Render()
}

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 6 * vg.Inch
)

// writePlot plots the score of each policy against the load.
func writePlot(rows []row, path string) (err error) {
	defer func() { err = errors.WithMessage(err, "plot") }()
	p := plot.New()
	p.Title.Text = "plumpitch experiment pace"
	p.X.Label.Text = "load, share of the capacity"
	p.Y.Label.Text = "worth"
	p.Legend.Top = false
	p.Legend.Left = true
	for i, r := range rows {
		var xy plotter.XYs
		for n, v := range r.Scores {
			xy = append(xy, plotter.XY{X: loads[n], Y: v})
		}
		line, dots, err := plotter.NewLinePoints(xy)
		if err != nil {
			return err
		}
		line.Color, dots.Color = plotutil.Color(i), plotutil.Color(i)
		line.Dashes, dots.Shape = plotutil.Dashes(i), plotutil.Shape(i)
		p.Add(line, dots)
		p.Legend.Add(r.Policy, line, dots)
	}
	return p.Save(plotWidth, plotHeight, path)
}
