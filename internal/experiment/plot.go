package experiment

import (
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	_ "gonum.org/v1/plot/vg/vgsvg" // registers the format svg
)

// Plot is a chart of figures: panels side by side with the same horizontal axis.
type Plot struct {
	Title string
	// XLabel names the quantity of the horizontal axes with its unit.
	XLabel string
	Panels []Panel
}

// Panel is one curve; YLabel names its quantity with its unit.
type Panel struct {
	YLabel string
	Points []Point
}

// Point is one measured point of a curve.
type Point struct{ X, Y float64 }

const (
	panelWidth  = 11 * vg.Centimeter
	panelHeight = 9 * vg.Centimeter
	panelMargin = 4 * vg.Millimeter
	// panelHeadroom is the top of the vertical axis over the largest value of a curve.
	panelHeadroom = 1.15
	curveWidth    = 1.5 // points
	markRadius    = 3   // points
)

// WriteSVG draws the plot as SVG.
func (p *Plot) WriteSVG(w io.Writer) error { return p.write(w, "svg") }

// write draws the plot in a format that the plot library supports.
func (p *Plot) write(w io.Writer, format string) error {
	count := len(p.Panels)
	canvas, err := draw.NewFormattedCanvas(vg.Length(count)*panelWidth, panelHeight, format)
	if err != nil {
		return err
	}
	tiles := draw.Tiles{
		Rows: 1, Cols: count, PadX: 2 * panelMargin,
		PadLeft: panelMargin, PadRight: panelMargin, PadTop: panelMargin, PadBottom: panelMargin,
	}
	page := draw.New(canvas)
	for i, panel := range p.Panels {
		chart, err := p.panelChart(panel)
		if err != nil {
			return err
		}
		chart.Draw(tiles.At(page, i, 0))
	}
	_, err = canvas.WriteTo(w)
	return err
}

func (p *Plot) panelChart(panel Panel) (*plot.Plot, error) {
	points := make(plotter.XYs, len(panel.Points))
	highest := 0.0
	for i, point := range panel.Points {
		points[i] = plotter.XY(point)
		highest = max(highest, point.Y)
	}
	line, marks, err := plotter.NewLinePoints(points)
	if err != nil {
		return nil, err
	}
	line.Width = vg.Points(curveWidth)
	marks.Radius = vg.Points(markRadius)
	marks.Shape = draw.CircleGlyph{}
	chart := plot.New()
	chart.Title.Text = p.Title
	chart.X.Label.Text = p.XLabel
	chart.Y.Label.Text = panel.YLabel
	sansSerif(chart)
	chart.Add(plotter.NewGrid(), line, marks)
	chart.Y.Min = 0
	if highest > 0 {
		chart.Y.Max = panelHeadroom * highest
	}
	return chart, nil
}

// sansSerif sets the fonts of a plot.
func sansSerif(p *plot.Plot) {
	for _, f := range []*font.Font{
		&p.Title.TextStyle.Font,
		&p.X.Label.TextStyle.Font, &p.X.Tick.Label.Font,
		&p.Y.Label.TextStyle.Font, &p.Y.Tick.Label.Font,
	} {
		f.Variant = "Sans"
	}
}
