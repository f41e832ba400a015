package experiment

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"strings"
	"testing"
)

// TestPlotLabelsAxes checks that the SVG is well formed and shows the title and the
// label of each axis, also when a curve is constantly 0.
func TestPlotLabelsAxes(t *testing.T) {
	p := Plot{Title: "Title", XLabel: "share (%)", Panels: []Panel{
		{YLabel: "p99 (ms)", Points: []Point{{0, 100}, {5, 20}}},
		{YLabel: "extra load (%)", Points: []Point{{0, 0}, {5, 0}}},
	}}
	var out bytes.Buffer
	if err := p.WriteSVG(&out); err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	decoder := xml.NewDecoder(&out)
	for {
		token, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		if data, ok := token.(xml.CharData); ok {
			text.Write(data)
		}
	}
	for _, want := range []string{"Title", "share (%)", "p99 (ms)", "extra load (%)"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("the plot does not show %q", want)
		}
	}
}
