package replay

import (
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 6 * vg.Inch
)

// series is one line of the plot.
type series struct {
	name  string
	color color.RGBA
	shape draw.GlyphDrawer
	rows  []*Result
}

// Plot draws wake-up p99 against idle accelerator hours, a point for each
// policy, into a file whose ending gives the format.
func (r *Report) Plot(file string) error {
	p := plot.New()
	p.Title.Text = r.Deployment + ": tail of wake-ups against idle accelerators"
	p.X.Label.Text = "idle accelerator hours a day"
	p.Y.Label.Text = "wake-up p99, seconds to the first token"
	p.Y.Min, p.X.Min = 0, 0
	p.Legend.Top = true
	for _, s := range r.series() {
		if err := s.add(p); err != nil {
			return err
		}
	}
	return p.Save(plotWidth, plotHeight, file)
}

func (r *Report) series() []series {
	list := []series{
		{name: "fixed keep-alive by hand", color: color.RGBA{R: 200, A: 255}, shape: draw.CircleGlyph{}},
		{name: "our cold path, fixed keep-alive", color: color.RGBA{R: 220, G: 140, A: 255}, shape: draw.SquareGlyph{}},
		{name: "ours by weight", color: color.RGBA{B: 200, A: 255}, shape: draw.TriangleGlyph{}},
		{name: "other policies", color: color.RGBA{R: 110, G: 110, B: 110, A: 255}, shape: draw.CrossGlyph{}},
	}
	policies := Policies()
	for i, row := range r.Plain {
		at := 3
		switch p := policies[i]; {
		case groups[0].in(p):
			at = 0
		case groups[1].in(p):
			at = 1
		case p.isOurs():
			at = 2
		}
		list[at].rows = append(list[at].rows, row.Result)
	}
	return list
}

func (s series) add(p *plot.Plot) error {
	points := make(plotter.XYs, len(s.rows))
	names := make([]string, len(s.rows))
	for i, row := range s.rows {
		points[i] = plotter.XY{X: row.IdleHours, Y: row.WakeUp.P99}
		names[i] = " " + row.Policy
	}
	line, scatter, err := plotter.NewLinePoints(points)
	if err != nil {
		return err
	}
	line.Color, scatter.Color, scatter.Shape = s.color, s.color, s.shape
	scatter.Radius = vg.Points(4)
	labels, err := plotter.NewLabels(plotter.XYLabels{XYs: points, Labels: names})
	if err != nil {
		return err
	}
	for i := range labels.TextStyle {
		labels.TextStyle[i].Font.Size = vg.Points(7)
	}
	if s.name != "other policies" {
		p.Add(line)
	}
	p.Add(scatter, labels)
	p.Legend.Add(s.name, scatter)
	return nil
}
