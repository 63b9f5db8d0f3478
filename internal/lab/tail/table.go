package tail

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/olekukonko/tablewriter"
)

// column is a column of the table, with one figure of each row.
type column struct {
	name      string
	value     func(r *row) spread
	decimals  int
	showRange bool // also print the lowest and the highest value
}

var columns = []column{
	{"p50 ms", func(r *row) spread { return r.p50 }, 1, false},
	{"p99 ms", func(r *row) spread { return r.p99 }, 1, true},
	{"p99.9 ms", func(r *row) spread { return r.p999 }, 1, true},
	{"refused %", func(r *row) spread { return r.refused }, 2, false},
	{"p99 of writes ms", func(r *row) spread { return r.writeP99 }, 1, true},
	{"writes refused %", func(r *row) spread { return r.writesRefused }, 2, false},
	{"after a wait %", func(r *row) spread { return r.refusedAfterWait }, 2, false},
	{"failed %", func(r *row) spread { return r.failed }, 2, false},
	{"probes/s", func(r *row) spread { return r.probeRate }, 2, false},
	{"probe share %", func(r *row) spread { return r.probeShare }, 3, false},
	{"worst 100 ms", func(r *row) spread { return r.peakProbeTime }, 1, false},
	{"retries %", func(r *row) spread { return r.retries }, 2, false},
	{"trials %", func(r *row) spread { return r.trials }, 2, false},
	{"goodput %", func(r *row) spread { return r.goodput }, 1, false},
	{"lost tries", func(r *row) spread { return r.lostDispatches }, 0, false},
	{"used again ms", func(r *row) spread { return r.recovery }, 0, true},
	{"last new work ms", func(r *row) spread { return r.lastNewWork }, 0, false},
}

func writeTable(w io.Writer, cfg Config, x experiment, rows []row) (err error) {
	_, err = fmt.Fprintf(w, "plumpitch experiment %s --seeds %d --seed %d --requests %d\n%s\n\n", cfg.Name, cfg.Seeds, cfg.Seed, cfg.Requests, x.description)
	if err != nil {
		return err
	}
	t := tablewriter.NewWriter(w)
	head := []string{"group", "way"}
	if x.showsGapClosed() {
		head = append(head, "gap closed %")
	}
	for _, c := range x.columns() {
		head = append(head, c.name)
	}
	t.SetHeader(head)
	t.SetAutoFormatHeaders(false)
	t.SetAutoWrapText(false)
	t.SetBorders(tablewriter.Border{Left: true, Right: true})
	t.SetCenterSeparator("|")
	for i := range rows {
		t.Append(cells(&rows[i], x))
	}
	t.Render()
	return nil
}

func cells(r *row, x experiment) (line []string) {
	line = []string{r.group, r.way}
	switch {
	case r.hasGapClosed:
		line = append(line, fmt.Sprintf("%.1f", r.gapClosed))
	case x.showsGapClosed():
		line = append(line, "-")
	}
	for _, c := range x.columns() {
		v := c.value(r)
		text := fmt.Sprintf("%.*f", c.decimals, v.median)
		if c.showRange {
			text += fmt.Sprintf(" (%.*f-%.*f)", c.decimals, v.low, c.decimals, v.high)
		}
		line = append(line, text)
	}
	return line
}

// jsonFigure and jsonRow are the JSON format of a row.
type jsonFigure struct {
	Median float64 `json:"median"`
	Low    float64 `json:"low"`
	High   float64 `json:"high"`
}

type jsonRow struct {
	Experiment string                `json:"experiment"`
	Seeds      int                   `json:"seeds"`
	Seed       uint64                `json:"seed"`
	Requests   int                   `json:"requests"`
	Group      string                `json:"group"`
	Way        string                `json:"way"`
	GapClosed  *float64              `json:"closed,omitempty"`
	Figures    map[string]jsonFigure `json:"figures"`
}

func writeJSON(w io.Writer, cfg Config, rows []row) (err error) {
	enc := json.NewEncoder(w)
	for i := range rows {
		if err = enc.Encode(toJSON(cfg, &rows[i])); err != nil {
			return err
		}
	}
	return nil
}

func toJSON(cfg Config, r *row) jsonRow {
	j := jsonRow{
		Experiment: cfg.Name,
		Seeds:      cfg.Seeds,
		Seed:       cfg.Seed,
		Requests:   cfg.Requests,
		Group:      r.group,
		Way:        r.way,
		Figures:    map[string]jsonFigure{},
	}
	if r.hasGapClosed {
		j.GapClosed = &r.gapClosed
	}
	for _, c := range columns {
		v := c.value(r)
		j.Figures[c.name] = jsonFigure{Median: v.median, Low: v.low, High: v.high}
	}
	return j
}
