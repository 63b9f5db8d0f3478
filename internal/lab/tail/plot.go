package tail

import (
	"math"
	"strconv"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/text"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgsvg" // the SVG format of Save
)

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 6 * vg.Inch
	labelAngle = math.Pi / 6
)

// writePlot writes an SVG plot of the p99 of each way, by group.
func writePlot(x experiment, rows []row, path string) (err error) {
	defer func() { err = errors.WithMessage(err, "plot") }()
	p := plot.New()
	p.Title.Text = "plumpitch experiment " + x.name
	p.Y.Label.Text = "p99, ms"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.TickerFunc(axisTicks)
	p.Legend.Top = true
	p.Legend.Left = true
	groups, ways := groupsAndWays(rows)
	p.NominalX(groups...)
	p.X.Tick.Label.Rotation = labelAngle
	p.X.Tick.Label.XAlign = text.XRight
	p.X.Tick.Label.YAlign = text.YCenter
	for i, way := range ways {
		line, dots, err := plotter.NewLinePoints(points(rows, groups, way))
		if err != nil {
			return err
		}
		line.Color, dots.Color = plotutil.Color(i), plotutil.Color(i)
		dots.Shape = plotutil.Shape(i)
		line.Dashes = plotutil.Dashes(i)
		p.Add(line, dots)
		p.Legend.Add(way, line, dots)
	}
	return p.Save(plotWidth, plotHeight, path)
}

// groupsAndWays returns the names of the groups and ways in order of appearance.
func groupsAndWays(rows []row) (groups, ways []string) {
	seenGroup, seenWay := map[string]bool{}, map[string]bool{}
	for _, r := range rows {
		if !seenGroup[r.group] {
			seenGroup[r.group] = true
			groups = append(groups, r.group)
		}
		if !seenWay[r.way] {
			seenWay[r.way] = true
			ways = append(ways, r.way)
		}
	}
	return groups, ways
}

// points returns the p99 of one way in each group that has it.
func points(rows []row, groups []string, way string) (xy plotter.XYs) {
	for i, g := range groups {
		if r := findRow(rows, g, way); r != nil {
			xy = append(xy, plotter.XY{X: float64(i), Y: r.p99.median})
		}
	}
	return xy
}

// axisTicks returns the ticks of a logarithmic axis. It also labels values between
// the powers of ten, since the axis may span less than one power.
func axisTicks(low, high float64) (t []plot.Tick) {
	for power := 1.0; power <= high; power *= 10 {
		for _, step := range []float64{1, 1.5, 2, 3, 4, 5, 7} {
			if v := power * step; v >= low && v <= high {
				t = append(t, plot.Tick{Value: v, Label: strconv.FormatFloat(v, 'g', -1, 64)})
			}
		}
	}
	return t
}
