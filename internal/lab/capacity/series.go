package capacity

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"

	"github.com/olekukonko/tablewriter"
	"gonum.org/v1/gonum/stat"
)

// series is one quantity against a size: for each size the values of its runs.
type series struct {
	name   string // with unit
	digits int
	x      []float64
	runs   [][]float64
}

func (s *series) add(x int, runs ...float64) {
	s.x = append(s.x, float64(x))
	s.runs = append(s.runs, runs)
}

func median(v []float64) float64 {
	v = slices.Clone(v)
	slices.Sort(v)
	return v[len(v)/2]
}

// fit gives the line through the medians and the greatest distance from it.
func (s *series) fit() (at0, slope, off float64) {
	var y []float64
	for _, r := range s.runs {
		y = append(y, median(r))
	}
	at0, slope = stat.LinearRegression(s.x, y, nil, false)
	for i, x := range s.x {
		off = max(off, math.Abs(y[i]-at0-slope*x))
	}
	return at0, slope, off
}

func (s *series) cell(i int) string {
	r := s.runs[i]
	text := strconv.FormatFloat(median(r), 'f', s.digits, 64)
	if len(r) == 1 {
		return text
	}
	low, high := slices.Min(r), slices.Max(r)
	return fmt.Sprintf("%s (%.*f-%.*f)", text, s.digits, low, s.digits, high)
}

// write prints series over the same sizes as one table: median, lowest and
// highest of the runs, and the line through the medians.
func write(w io.Writer, size string, all ...*series) {
	t := newTable(w)
	head := []string{size}
	for _, x := range all[0].x {
		head = append(head, fmt.Sprint(x))
	}
	t.SetHeader(append(head, "at 0", "slope", "off by"))
	for _, s := range all {
		line := []string{s.name}
		for i := range s.x {
			line = append(line, s.cell(i))
		}
		at0, slope, off := s.fit()
		t.Append(append(line, fmt.Sprintf("%.*f", s.digits, at0), fmt.Sprintf("%.3g", slope), fmt.Sprintf("%.*f", s.digits, off)))
	}
	t.Render()
}

func newTable(w io.Writer) *tablewriter.Table {
	t := tablewriter.NewWriter(w)
	t.SetAutoFormatHeaders(false)
	t.SetAutoWrapText(false)
	t.SetBorders(tablewriter.Border{Left: true, Right: true})
	t.SetCenterSeparator("|")
	return t
}
