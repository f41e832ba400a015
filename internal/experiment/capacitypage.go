package experiment

import (
	"bufio"
	_ "embed"
	"fmt"
	"io"
	"math"
	"regexp"
	"strconv"
	"strings"
	"text/template"
)

//go:embed capacity.md.tmpl
var capacityTemplate string

// significantDigits is the precision of slopes on the page. The page is calculated
// from the rounded figures, so that it can be rendered again from itself.
const significantDigits = 3

// round rounds a number to significantDigits.
func round(v float64) float64 {
	if v == 0 {
		return 0
	}
	scale := math.Pow(10, significantDigits-1-math.Floor(math.Log10(math.Abs(v))))
	return math.Round(v*scale) / scale
}

func roundSlope(s Slope) Slope {
	s.PerUnit, s.PerUnitError = round(s.PerUnit), round(s.PerUnitError)
	s.Intercept, s.InterceptError = round(s.Intercept), round(s.InterceptError)
	return s
}

func formatFloat(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

// slopeRow is a slope as a row of the page's table of measurements.
func slopeRow(s Slope) string {
	var sizes []string
	for _, size := range s.Sizes {
		sizes = append(sizes, formatFloat(size))
	}
	return fmt.Sprintf("| `%s` | %s | %s ± %s | %s ± %s | %s | %s |",
		s.Name, s.Unit, formatFloat(s.PerUnit), formatFloat(s.PerUnitError), formatFloat(s.Intercept), formatFloat(s.InterceptError), strings.Join(sizes, ", "), s.SizeUnit)
}

var slopePattern = regexp.MustCompile("^\\| `(\\w+)` \\| (\\S+) \\| (\\S+) ± (\\S+) \\| (\\S+) ± (\\S+) \\| ([\\d, ]+) \\| (.*) \\|$")

// ParseSlopes reads the measurements of a page that RenderCapacity wrote.
func ParseSlopes(page io.Reader) ([]Slope, error) {
	var out []Slope
	lines := bufio.NewScanner(page)
	for lines.Scan() {
		m := slopePattern.FindStringSubmatch(lines.Text())
		if m == nil {
			continue
		}
		s := Slope{Name: m[1], Unit: m[2], SizeUnit: m[8]}
		for i, field := range []*float64{&s.PerUnit, &s.PerUnitError, &s.Intercept, &s.InterceptError} {
			v, err := strconv.ParseFloat(m[3+i], 64)
			if err != nil {
				return nil, fmt.Errorf("slope %s: %w", s.Name, err)
			}
			*field = v
		}
		for _, text := range strings.Split(m[7], ", ") {
			size, err := strconv.ParseFloat(text, 64)
			if err != nil {
				return nil, fmt.Errorf("slope %s: %w", s.Name, err)
			}
			s.Sizes = append(s.Sizes, size)
		}
		out = append(out, s)
	}
	return out, lines.Err()
}

// RenderCapacity writes the capacity page calculated from slopes.
func RenderCapacity(w io.Writer, slopes []Slope) error {
	rounded := make([]Slope, len(slopes))
	for i, s := range slopes {
		rounded[i] = roundSlope(s)
	}
	c, err := newCapacity(rounded)
	if err != nil {
		return err
	}
	page, err := template.New("capacity").Funcs(c.functions(rounded)).Parse(capacityTemplate)
	if err != nil {
		return err
	}
	return page.Execute(w, nil)
}

// formatNumber formats a value with thousands separators and significantDigits.
func formatNumber(v float64) string {
	if math.Abs(v) < 100 {
		return formatFloat(round(v))
	}
	text := formatFloat(math.Round(round(v)))
	for i := len(text) - 3; i > 0; i -= 3 {
		text = text[:i] + "," + text[i:]
	}
	return text
}

func (c *capacity) functions(slopes []Slope) template.FuncMap {
	const mega = 1e6
	percent := func(v float64) string { return formatNumber(100*v) + " %" }
	value := func(f func() float64) func() string { return func() string { return formatNumber(f()) } }
	return template.FuncMap{
		"slopes":           func() []Slope { return slopes },
		"row":              slopeRow,
		"nodeQueries":      value(c.nodeQueries),
		"nodeSubrequests":  value(c.nodeSubrequests),
		"nodeBatches":      value(c.nodeBatches),
		"batchesPerQuery":  value(c.batchesPerQuery),
		"batchSize":        func() string { return formatNumber(c.size.fanOut / c.batchesPerQuery()) },
		"leafSubrequests":  value(c.leafSubrequests),
		"nodePlaces":       value(c.nodePlaces),
		"leafPolls":        func() string { return formatNumber(c.size.owners * c.size.pollsPerSecond) },
		"nodePolls":        value(c.nodePolls),
		"memberChanges":    value(c.memberChanges),
		"queryCores":       value(c.queryCores),
		"planCores":        value(c.planCores),
		"hopCores":         value(c.hopCores),
		"scatteredCores":   value(c.scatteredCores),
		"leafCores":        value(c.leafCores),
		"pollCores":        value(c.pollCores),
		"memberCores":      value(c.memberCores),
		"assignMillis":     func() string { return formatNumber(c.assignMicros() / 1000) },
		"changeCores":      value(c.changeCores),
		"totalCores":       func(scattered bool) string { return formatNumber(c.totalCores(scattered)) },
		"usedShare":        func(scattered bool) string { return percent(c.totalCores(scattered) / assumedCores) },
		"breaksAt":         func(n float64, scattered bool) string { return formatNumber(c.breaksAt(n, scattered)) },
		"streamMB":         func() string { return formatNumber(c.streamBytes() / mega) },
		"leafMB":           func() string { return formatNumber(c.leafBytes() / mega) },
		"serviceMB":        func() string { return formatNumber(c.serviceBytes() / mega) },
		"hopMB":            func() string { return formatNumber(c.hopBytes() / mega) },
		"leafTrafficMB":    func() string { return formatNumber(c.leafTraffic() / mega) },
		"oneLeafMB":        func() string { return formatNumber(c.leafSubrequests() * c.perUnit("subrequest_bytes") / mega) },
		"slotMicros":       func(slots float64) string { return formatNumber(c.slotMicros(slots)) },
		"exchangeMillis":   func(conns, per float64) string { return formatNumber(c.longestExchange(conns, per)) },
		"gathered":         func(ms float64) string { return formatNumber(c.gathered(ms)) },
		"gatheredCores":    func(ms float64) string { return formatNumber(c.leafCores() / c.gathered(ms)) },
		"planMillis":       func() string { return formatNumber(c.size.fanOut * c.perUnit("entry_shard") / 1000) },
		"batchMillis":      func() string { return formatNumber(c.batchesPerQuery() * c.intercept("batch") / 1000) },
		"mergeMillis":      func() string { return formatNumber(c.size.fanOut * c.perUnit("merged_item") / 1000) },
		"shardQuantile":    func() string { return fmt.Sprintf("%.4f %%", 100*math.Pow(0.99, 1/c.size.fanOut)) },
		"survivorLoad":     func(lost float64) string { return formatNumber(float64(c.size.nodes) / (float64(c.size.nodes) - lost)) },
		"reportSeconds":    func() string { return formatNumber(c.reportInterval()) },
		"reportsPerSecond": func() string { return formatNumber(float64(c.size.nodes) / c.reportInterval()) },
		"replacedEvery":    func() string { return formatNumber(secondsPerDay / c.size.replaced) },
	}
}
