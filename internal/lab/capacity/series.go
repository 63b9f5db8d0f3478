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

// series is one quantity as a function of a size, with the values of several
// runs for each size.
type series struct {
	name   string // with its unit
	digits int    // decimals to print
	sizes  []float64
	runs   [][]float64
}

func (s *series) add(x int, runs ...float64) {
	s.sizes = append(s.sizes, float64(x))
	s.runs = append(s.runs, runs)
}

func median(v []float64) float64 {
	v = slices.Clone(v)
	slices.Sort(v)
	return v[len(v)/2]
}

// fit returns the regression line through the medians and the largest deviation
// of a median from it.
func (s *series) fit() (at0, slope, maxDeviation float64) {
	var y []float64
	for _, r := range s.runs {
		y = append(y, median(r))
	}
	at0, slope = stat.LinearRegression(s.sizes, y, nil, false)
	for i, x := range s.sizes {
		maxDeviation = max(maxDeviation, math.Abs(y[i]-at0-slope*x))
	}
	return at0, slope, maxDeviation
}

// cell formats the median at a size, with the range if there are several runs.
func (s *series) cell(i int) string {
	r := s.runs[i]
	text := strconv.FormatFloat(median(r), 'f', s.digits, 64)
	if len(r) == 1 {
		return text
	}
	low, high := slices.Min(r), slices.Max(r)
	return fmt.Sprintf("%s (%.*f-%.*f)", text, s.digits, low, s.digits, high)
}

// writeTable prints series with the same sizes as one table: the median and the
// range of the runs, and the regression line through the medians.
func writeTable(w io.Writer, size string, all ...*series) {
	t := newTable(w)
	header := []string{size}
	for _, x := range all[0].sizes {
		header = append(header, fmt.Sprint(x))
	}
	t.SetHeader(append(header, "at 0", "slope", "off by"))
	for _, s := range all {
		line := []string{s.name}
		for i := range s.sizes {
			line = append(line, s.cell(i))
		}
		at0, slope, maxDeviation := s.fit()
		t.Append(append(line, fmt.Sprintf("%.*f", s.digits, at0), fmt.Sprintf("%.3g", slope), fmt.Sprintf("%.*f", s.digits, maxDeviation)))
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
