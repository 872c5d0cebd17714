package replay

import (
	"fmt"
	"image/color"
	"os"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 11 * vg.Inch
	plotHeight = 4.5 * vg.Inch
	// maxPlottedHoursFactor bounds the idle hours shown, relative to the most hours
	// of a fixed keep-alive: least recently used needs several times as many.
	maxPlottedHoursFactor = 1.3
)

// series holds the rows of one kind of policy.
type series struct {
	name   string
	color  color.RGBA
	shape  draw.GlyphDrawer
	rows   []*Result
	labels []string
}

// panel describes one of the two plots side by side.
type panel struct {
	label string
	value func(*Result) float64
}

var panels = []panel{
	{"p99 of cold starts, seconds to the first token", func(r *Result) float64 { return r.Cold.P99 }},
	{"cold starts a day", func(r *Result) float64 { return float64(r.Cold.Count) }},
}

// Plot draws the tail and the number of cold starts against idle accelerator
// hours, a point for each policy, into an SVG file.
func (r *Report) Plot(file string) error {
	canvas := vgsvg.New(plotWidth, plotHeight)
	if err := r.draw(draw.New(canvas)); err != nil {
		return err
	}
	out, err := os.Create(file)
	if err != nil {
		return err
	}
	if _, err := canvas.WriteTo(out); err != nil {
		out.Close()
		return err
	}
	return out.Close()
}

// draw draws the panels side by side.
func (r *Report) draw(canvas draw.Canvas) error {
	list := r.groupSeries()
	row := make([]*plot.Plot, len(panels))
	for i, spec := range panels {
		p, err := r.newPanel(spec, list)
		if err != nil {
			return err
		}
		row[i] = p
	}
	tiles := draw.Tiles{Rows: 1, Cols: len(panels), PadX: vg.Points(20), PadRight: vg.Points(10), PadTop: vg.Points(5)}
	plots := [][]*plot.Plot{row}
	for i, area := range plot.Align(plots, tiles, canvas)[0] {
		row[i].Draw(area)
	}
	return nil
}

func (r *Report) newPanel(spec panel, list []series) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, seed %d", r.Deployment, r.Seed)
	p.X.Label.Text = "idle accelerator hours a day"
	p.Y.Label.Text = spec.label
	p.Legend.Top = true
	for _, s := range list {
		if err := s.addTo(p, spec); err != nil {
			return nil, err
		}
	}
	p.Y.Min = 0
	p.Y.Max *= 1.35 // room for the legend
	return p, nil
}

// groupSeries groups the rows by kind of policy, without those that have too many
// idle hours to show.
func (r *Report) groupSeries() []series {
	list := []series{
		{name: "fixed keep-alive by hand", color: color.RGBA{R: 200, A: 255}, shape: draw.CircleGlyph{}},
		{name: "fixed keep-alive on our cold path", color: color.RGBA{R: 220, G: 140, A: 255}, shape: draw.BoxGlyph{}},
		{name: "ours by weight", color: color.RGBA{B: 200, A: 255}, shape: draw.PyramidGlyph{}},
	}
	policies := Policies()
	maxHours := 0.0
	for i, row := range r.Plain {
		if policyGroups[0].includes(policies[i]) {
			maxHours = max(maxHours, maxPlottedHoursFactor*row.IdleHours)
		}
	}
	for i, row := range r.Plain {
		index := -1
		switch p := policies[i]; {
		case policyGroups[0].includes(p):
			index = 0
		case policyGroups[1].includes(p):
			index = 1
		case p.isShippedPlanner():
			index = 2
		}
		if index < 0 || row.IdleHours > maxHours {
			continue
		}
		words := strings.Fields(strings.TrimSuffix(row.Policy, " min"))
		list[index].rows = append(list[index].rows, row.Result)
		list[index].labels = append(list[index].labels, "  "+words[len(words)-1])
	}
	return list
}

func (s series) addTo(p *plot.Plot, spec panel) error {
	points := make(plotter.XYs, len(s.rows))
	for i, row := range s.rows {
		points[i] = plotter.XY{X: row.IdleHours, Y: spec.value(row)}
	}
	line, scatter, err := plotter.NewLinePoints(points)
	if err != nil {
		return err
	}
	line.Color, scatter.Color, scatter.Shape = s.color, s.color, s.shape
	scatter.Radius = vg.Points(3)
	labels, err := plotter.NewLabels(plotter.XYLabels{XYs: points, Labels: s.labels})
	if err != nil {
		return err
	}
	for i := range labels.TextStyle {
		labels.TextStyle[i].Font.Size = vg.Points(8)
	}
	p.Add(line, scatter, labels)
	p.Legend.Add(s.name, scatter)
	return nil
}
