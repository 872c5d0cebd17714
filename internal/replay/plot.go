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
	// plotMost bounds the idle hours shown, by those of the fixed keep-alives:
	// least recently used needs several times as many.
	plotMost = 1.3
)

// series is the policies of one kind.
type series struct {
	name   string
	color  color.RGBA
	shape  draw.GlyphDrawer
	rows   []*Result
	labels []string
}

// panel is one of the two plots side by side.
type panel struct {
	label string
	of    func(*Result) float64
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

// draw puts the panels side by side.
func (r *Report) draw(canvas draw.Canvas) error {
	list := r.series()
	row := make([]*plot.Plot, len(panels))
	for i, panel := range panels {
		p, err := r.panel(panel, list)
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

func (r *Report) panel(panel panel, list []series) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, seed %d", r.Deployment, r.Seed)
	p.X.Label.Text = "idle accelerator hours a day"
	p.Y.Label.Text = panel.label
	p.Legend.Top = true
	for _, s := range list {
		if err := s.add(p, panel); err != nil {
			return nil, err
		}
	}
	p.Y.Min = 0
	p.Y.Max *= 1.35 // room for the legend
	return p, nil
}

// series groups the rows, without those that need too many hours to show.
func (r *Report) series() []series {
	list := []series{
		{name: "fixed keep-alive by hand", color: color.RGBA{R: 200, A: 255}, shape: draw.CircleGlyph{}},
		{name: "fixed keep-alive on our cold path", color: color.RGBA{R: 220, G: 140, A: 255}, shape: draw.BoxGlyph{}},
		{name: "ours by weight", color: color.RGBA{B: 200, A: 255}, shape: draw.PyramidGlyph{}},
	}
	policies := Policies()
	most := 0.0
	for i, row := range r.Plain {
		if groups[0].in(policies[i]) {
			most = max(most, plotMost*row.IdleHours)
		}
	}
	for i, row := range r.Plain {
		at := -1
		switch p := policies[i]; {
		case groups[0].in(p):
			at = 0
		case groups[1].in(p):
			at = 1
		case p.isOurs():
			at = 2
		}
		if at < 0 || row.IdleHours > most {
			continue
		}
		words := strings.Fields(strings.TrimSuffix(row.Policy, " min"))
		list[at].rows = append(list[at].rows, row.Result)
		list[at].labels = append(list[at].labels, "  "+words[len(words)-1])
	}
	return list
}

func (s series) add(p *plot.Plot, panel panel) error {
	points := make(plotter.XYs, len(s.rows))
	for i, row := range s.rows {
		points[i] = plotter.XY{X: row.IdleHours, Y: panel.of(row)}
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
