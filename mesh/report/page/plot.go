package page

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"html/template"
	"image/color"
	"maps"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/text"
	"gonum.org/v1/plot/vg"
	canvas "gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"sassafrasnotch.example/coord/burn"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/ticket"
	"sassafrasnotch.example/mesh/report"
)

const (
	plotWidth      = 26 * vg.Centimeter
	plotHeight     = 17 * vg.Centimeter
	rowGap         = 4 * vg.Millimeter
	legendGap      = vg.Millimeter
	legendSize     = 9   // points
	lineWidth      = 1.5 // points
	barWidth       = 7   // points
	dotRadius      = 1.5 // points
	timeFormat     = "15:04:05"
	fullShare      = 100 // percent
	minBurnAxisMax = 1.5 // burn rate; the axis is longer if the series is higher
	shareMargin    = 5   // percent; space above fullShare on the axis
)

var (
	colourBurn    = color.RGBA{R: 0xb0, G: 0x20, B: 0x20, A: 0xff}
	colourLimit   = color.Gray{Y: 0x80}
	colourRunning = color.RGBA{R: 0x20, G: 0x60, B: 0xc0, A: 0xff}
	colourDone    = color.RGBA{R: 0x20, G: 0x80, B: 0x40, A: 0xff}
)

// drawPanel plots the burn, the shares of the versions and the rollouts of a service over one time
// axis. It returns the image as a data URL, or "" without a series.
func drawPanel(p panel, system report.SystemReport) (template.URL, error) {
	if len(p.Series) == 0 {
		return "", nil
	}
	from := p.Series[0].At
	to := p.Series[len(p.Series)-1].At.Add(burn.SeriesInterval)
	if system.At.After(to) {
		to = system.At
	}
	rows := []func(*plot.Plot, panel, time.Time, time.Time) error{drawBurn, drawShares, drawRollouts}
	grid := make([][]*plot.Plot, len(rows))
	for i, row := range rows {
		chart := plot.New()
		if err := row(chart, p, from, to); err != nil {
			return "", err
		}
		chart.X.Min, chart.X.Max = seconds(from), seconds(to)
		chart.X.Tick.Marker = plot.TimeTicks{Format: timeFormat, Time: plot.UTCUnixTime}
		chart.Legend.Top, chart.Legend.Left = true, true
		chart.Legend.Padding = legendGap
		chart.Legend.TextStyle.Font.Size = vg.Points(legendSize)
		grid[i] = []*plot.Plot{chart}
	}
	return render(grid)
}

// render draws the plots one below the other with aligned time axes and returns the image as a
// data URL.
func render(grid [][]*plot.Plot) (template.URL, error) {
	image := vgsvg.New(plotWidth, plotHeight)
	tiles := canvas.Tiles{Rows: len(grid), Cols: 1, PadY: rowGap}
	for i, row := range plot.Align(grid, tiles, canvas.New(image)) {
		grid[i][0].Draw(row[0])
	}
	var data bytes.Buffer
	if _, err := image.WriteTo(&data); err != nil {
		return "", err
	}
	return template.URL("data:image/svg+xml;base64," + base64.StdEncoding.EncodeToString(data.Bytes())), nil
}

// seconds returns the time as seconds since the Unix epoch.
func seconds(at time.Time) float64 { return float64(at.UnixNano()) / float64(time.Second) }

// drawBurn plots the burn of each interval and the limit at which the budget is spent exactly.
func drawBurn(p *plot.Plot, s panel, from, to time.Time) error {
	allowed := 1 - float64(s.Objective.Success)/revision.FullShare
	p.Y.Label.Text = "burn rate"
	p.Y.Min = 0
	limit := plotter.XYs{{X: seconds(from), Y: 1}, {X: seconds(to), Y: 1}}
	p.Y.Max = minBurnAxisMax // Add extends it if the series is higher
	line, err := plotter.NewLine(limit)
	if err != nil {
		return err
	}
	line.Color, line.Dashes = colourLimit, []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(line)
	p.Legend.Add("1 spends exactly the budget", line)
	value := func(point burn.Point) float64 { return point.Rate() / allowed }
	return addSeries(p, "burn", colourBurn, s.Series, value)
}

// drawShares plots the share of the responses that came from each version.
func drawShares(p *plot.Plot, s panel, _, _ time.Time) error {
	p.Y.Label.Text = "answers by version, %"
	p.Y.Min, p.Y.Max = 0, fullShare+shareMargin
	versions := make(map[string]bool)
	for _, point := range s.Series {
		for version := range point.Versions {
			versions[version] = true
		}
	}
	for i, version := range slices.Sorted(maps.Keys(versions)) {
		value := func(point burn.Point) float64 { return versionShare(point, version) }
		if err := addSeries(p, version, plotutil.Color(i), answeredPoints(s.Series), value); err != nil {
			return err
		}
	}
	return nil
}

// answeredPoints omits the intervals in which no version responded.
func answeredPoints(points []burn.Point) []burn.Point {
	return slices.DeleteFunc(slices.Clone(points), func(p burn.Point) bool { return len(p.Versions) == 0 })
}

// versionShare returns the share of the responses of a version in percent.
func versionShare(point burn.Point, version string) float64 {
	var total uint64
	for _, responses := range point.Versions {
		total += responses
	}
	return fullShare * float64(point.Versions[version]) / float64(total)
}

// addSeries plots a line that is broken where intervals have no point.
func addSeries(p *plot.Plot, name string, colour color.Color, points []burn.Point, value func(burn.Point) float64) error {
	for i, segment := range segments(points) {
		values := make(plotter.XYs, 0, len(segment))
		for _, point := range segment {
			middle := point.At.Add(burn.SeriesInterval / 2)
			values = append(values, plotter.XY{X: seconds(middle), Y: value(point)})
		}
		line, dots, err := plotter.NewLinePoints(values)
		if err != nil {
			return err
		}
		line.Color, line.Width = colour, vg.Points(lineWidth)
		dots.Shape, dots.Color, dots.Radius = canvas.CircleGlyph{}, colour, vg.Points(dotRadius)
		p.Add(line, dots)
		if i == 0 {
			p.Legend.Add(name, line, dots)
		}
	}
	return nil
}

// segments splits points at the intervals that have none.
func segments(points []burn.Point) [][]burn.Point {
	var split [][]burn.Point
	for i, point := range points {
		if i == 0 || point.At.Sub(points[i-1].At) > burn.SeriesInterval {
			split = append(split, nil)
		}
		last := len(split) - 1
		split[last] = append(split[last], point)
	}
	return split
}

// drawRollouts plots each rollout as a bar from the acceptance of its ticket to its verdict.
func drawRollouts(p *plot.Plot, s panel, from, to time.Time) error {
	p.Y.Label.Text = "moves"
	p.Y.Tick.Marker = plot.ConstantTicks{}
	var shown []rollout
	for _, m := range s.Moves {
		if end := endTime(m, to); end.After(from) {
			shown = append(shown, m)
		}
	}
	p.Y.Min, p.Y.Max = 0, float64(len(shown)+1)
	for i, m := range shown {
		if err := drawRollout(p, m, float64(len(shown)-i), from, to); err != nil {
			return err
		}
	}
	return nil
}

// endTime returns the time of the verdict, or now while the rollout is running.
func endTime(m rollout, now time.Time) time.Time {
	if m.Verdict == ticket.Running {
		return now
	}
	return m.At
}

// drawRollout plots one rollout at the height y.
func drawRollout(p *plot.Plot, m rollout, y float64, from, to time.Time) error {
	begin := max(seconds(m.Started), seconds(from))
	bar, err := plotter.NewLine(plotter.XYs{{X: begin, Y: y}, {X: seconds(endTime(m, to)), Y: y}})
	if err != nil {
		return err
	}
	bar.Color, bar.Width = verdictColour(m.Verdict), vg.Points(barWidth)
	label, err := plotter.NewLabels(plotter.XYLabels{
		XYs:    plotter.XYs{{X: begin, Y: y}},
		Labels: []string{fmt.Sprintf("ticket %d: %s to %s, %s", m.Ticket, m.From, m.To, m.Verdict)},
	})
	if err != nil {
		return err
	}
	label.Offset.Y = vg.Points(barWidth)
	if middle := (seconds(from) + seconds(to)) / 2; begin > middle {
		label.TextStyle[0].XAlign = text.XRight // so that the text ends inside the image
		label.XYs[0].X = seconds(endTime(m, to))
	}
	p.Add(bar, label)
	return nil
}

func verdictColour(v ticket.Verdict) color.Color {
	switch v {
	case ticket.Completed:
		return colourDone
	case ticket.RolledBack:
		return colourBurn
	}
	return colourRunning
}
