package reporter

import (
	"bytes"
	"html/template"
	"image/color"
	"strings"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/dotterelrill/dotterelrill/modeller"
)

// Dimensions of a plot on the page.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 2.6 * vg.Inch
)

// line is one curve of a plot.
type line struct {
	name   string
	dashed bool
	colour color.Color
	points plotter.XYs
}

// plotPacking plots the committed fractions of the fleet over time.
func (collector *Collector) plotPacking() (template.HTML, error) {
	processors := line{name: "processors", colour: plotutil.Color(0)}
	memory := line{name: "memory", colour: plotutil.Color(1)}
	for at := range collector.samples {
		sample := &collector.samples[at]
		seconds := collector.elapsedSeconds(sample.at)
		processors.points = append(processors.points, plotter.XY{X: seconds, Y: sample.processors})
		memory.points = append(memory.points, plotter.XY{X: seconds, Y: sample.memory})
	}
	return renderPlot("committed fraction of the fleet", []line{processors, memory})
}

// plotShare plots an account's dominant share and its entitlement over time.
func (collector *Collector) plotShare(name modeller.ClientAccountName) (template.HTML, error) {
	used := line{name: "share", colour: plotutil.Color(0)}
	entitled := line{name: "entitlement", colour: plotutil.Color(2), dashed: true}
	for at := range collector.samples {
		sample := &collector.samples[at]
		seconds := collector.elapsedSeconds(sample.at)
		used.points = append(used.points, plotter.XY{X: seconds, Y: sample.accounts[name].used})
		entitled.points = append(entitled.points, plotter.XY{X: seconds, Y: sample.accounts[name].entitled})
	}
	return renderPlot("fraction of the fleet", []line{used, entitled})
}

func (collector *Collector) elapsedSeconds(at modeller.Millis) float64 {
	return float64(at-collector.firstTime) / 1000
}

// renderPlot renders a plot as an SVG element to embed in the page.
func renderPlot(label string, lines []line) (template.HTML, error) {
	chart := plot.New()
	chart.X.Label.Text = "seconds since the beginning"
	chart.Y.Label.Text = label
	chart.Y.Min = 0
	chart.Y.Max = 1
	chart.Legend.Top = true
	chart.Add(plotter.NewGrid())
	for _, line := range lines {
		if len(line.points) == 0 {
			continue
		}
		curve, err := plotter.NewLine(line.points)
		if err != nil {
			return "", eris.Wrapf(err, "plot %s", line.name)
		}
		curve.StepStyle = plotter.PostStep
		curve.Color = line.colour
		if line.dashed {
			curve.Dashes = []vg.Length{vg.Points(5), vg.Points(3)}
		}
		chart.Add(curve)
		chart.Legend.Add(line.name, curve)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	chart.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", eris.Wrap(err, "write a plot")
	}
	_, svg, _ := strings.Cut(out.String(), "<svg")
	// The plot library escapes the texts in the SVG, so it is safe as HTML.
	return template.HTML("<svg" + svg), nil
}
