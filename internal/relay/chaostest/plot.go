package chaostest

import (
	"bytes"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	vgdraw "gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// curve is a figure of each second.
type curve struct {
	name   string
	color  color.Color
	dashed bool
	figure func(Summary) float64
}

// curves are the curves of a plot, in the order of its legend.
var curves = []curve{
	{"handed in", color.Gray{170}, false, func(s Summary) float64 { return float64(s.Handed) }},
	{"hosts take", color.Gray{60}, true, func(s Summary) float64 { return s.Takes }},
	{"calls offered", color.RGBA{200, 80, 0, 255}, false, func(s Summary) float64 { return float64(s.Calls) }},
	{"delivered", color.RGBA{0, 90, 160, 255}, false, func(s Summary) float64 { return float64(s.Delivered) }},
}

// draw plots the figures of each second as SVG.
func draw(r Report) ([]byte, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text, p.Y.Min = "second", "a second", 0
	p.Legend.Top = true
	for _, c := range curves {
		if err := addCurve(p, r.Seconds, c); err != nil {
			return nil, err
		}
	}
	if err := addPhases(p, r.Phases); err != nil {
		return nil, err
	}
	return renderSVG(p)
}

// addCurve adds a curve and its legend.
func addCurve(p *plot.Plot, seconds []Summary, c curve) error {
	var points plotter.XYs
	for _, s := range seconds {
		points = append(points, plotter.XY{X: (s.From + s.To).Seconds() / 2, Y: c.figure(s) / (s.To - s.From).Seconds()})
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color, line.Width = c.color, vg.Points(1.5)
	if c.dashed {
		line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	}
	p.Add(line)
	p.Legend.Add(c.name, line)
	return nil
}

// addPhases adds a vertical line at the beginning of each phase, with its name above the curves.
func addPhases(p *plot.Plot, phases []Summary) error {
	top := p.Y.Max
	var labels plotter.XYLabels
	for _, phase := range phases {
		x := phase.From.Seconds()
		line, err := plotter.NewLine(plotter.XYs{{X: x, Y: 0}, {X: x, Y: top}})
		if err != nil {
			return err
		}
		line.Color = color.Gray{200}
		p.Add(line)
		labels.XYs, labels.Labels = append(labels.XYs, plotter.XY{X: x, Y: top * 1.02}), append(labels.Labels, phase.Name)
	}
	names, err := plotter.NewLabels(labels)
	if err != nil {
		return err
	}
	for i := range names.TextStyle {
		names.TextStyle[i].Rotation = 0.4
	}
	p.Add(names)
	p.Y.Max = top * 1.25
	return nil
}

// renderSVG returns the plot as an SVG element, without the XML declaration.
func renderSVG(p *plot.Plot) ([]byte, error) {
	canvas := vgsvg.New(28*vg.Centimeter, 11*vg.Centimeter)
	p.Draw(vgdraw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return nil, err
	}
	svg := b.Bytes()
	if i := bytes.Index(svg, []byte("<svg")); i > 0 {
		svg = svg[i:]
	}
	return svg, nil
}
