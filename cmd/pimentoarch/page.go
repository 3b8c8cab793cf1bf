package main

import (
	"bytes"
	"cmp"
	_ "embed"
	"html/template"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/wcharczuk/go-chart/v2"
)

//go:embed report.html
var pageText string

var page = template.Must(template.New("report").Parse(pageText))

const (
	plotWidth  = 1000 // Pixels.
	plotHeight = 260  // Pixels.
	// legendHeight is the room in pixels above a plot.
	legendHeight = 40
	// mostLines bounds the lines of one plot. The commonest names have their
	// own, the others one together.
	mostLines = 7
)

// line is one line of a plot, with a value for each slot.
type line struct {
	name   string
	values []float64
}

// write writes the page. It needs nothing but itself to be shown.
func (r *report) write(w io.Writer) error {
	plots := []struct {
		title, unit string
		lines       []line
	}{
		{"Requests ended", "in a slot", []line{r.line("all", func(s *slot) float64 { return float64(s.ended) })}},
		{"Refused by reason", "in a slot", r.counts(func(s *slot) map[string]int { return s.refused })},
		{"Time of requests", "ms", []line{
			r.line("p50", func(s *slot) float64 { return float64(s.took.ValueAtQuantile(50)) }),
			r.line("p99", func(s *slot) float64 { return float64(s.took.ValueAtQuantile(99)) }),
		}},
		{"Changes of belief", "in a slot", r.counts(func(s *slot) map[string]int { return s.beliefs })},
	}
	type figure struct {
		Title string
		SVG   template.HTML
	}
	var figures []figure
	for _, p := range plots {
		if len(p.lines) == 0 {
			continue
		}
		svg, err := r.plot(p.unit, p.lines)
		if err != nil {
			return err
		}
		figures = append(figures, figure{p.title, svg})
	}
	return page.Execute(w, map[string]any{"Report": r, "Figures": figures})
}

func (r *report) line(name string, value func(*slot) float64) line {
	l := line{name: name}
	for i := range r.Slots {
		l.values = append(l.values, value(&r.Slots[i]))
	}
	return l
}

// counts returns a line for each of the commonest names that count has.
func (r *report) counts(count func(*slot) map[string]int) []line {
	total := make(map[string]int)
	for i := range r.Slots {
		for name, n := range count(&r.Slots[i]) {
			total[name] += n
		}
	}
	names := slices.SortedFunc(maps.Keys(total), func(a, b string) int {
		return cmp.Or(cmp.Compare(total[b], total[a]), cmp.Compare(a, b))
	})
	var lines []line
	for _, name := range names[:min(len(names), mostLines-1)] {
		lines = append(lines, r.line(name, func(s *slot) float64 { return float64(count(s)[name]) }))
	}
	if rest := names[len(lines):]; len(rest) > 0 {
		lines = append(lines, r.line("others", func(s *slot) float64 {
			sum := 0
			for _, name := range rest {
				sum += count(s)[name]
			}
			return float64(sum)
		}))
	}
	return lines
}

// plot draws lines over the time since the first line of the logs.
func (r *report) plot(unit string, lines []line) (template.HTML, error) {
	var xs []float64
	for i := range r.Slots {
		xs = append(xs, (time.Duration(i) * r.Slot).Seconds())
	}
	if len(xs) == 1 { // A plot needs two points.
		xs = append(xs, r.Slot.Seconds())
		for i := range lines {
			lines[i].values = append(lines[i].values, lines[i].values[0])
		}
	}
	c := chart.Chart{
		Width:      plotWidth,
		Height:     plotHeight,
		Background: chart.Style{Padding: chart.Box{Top: legendHeight, Left: 20, Right: 20, Bottom: 10}},
		XAxis:      chart.XAxis{Name: "seconds", ValueFormatter: chart.IntValueFormatter},
		YAxis:      chart.YAxis{Name: unit, ValueFormatter: chart.IntValueFormatter, Range: &chart.ContinuousRange{Min: 0, Max: highest(lines)}},
	}
	for _, l := range lines {
		// Names come from logs, and the library writes them as they are.
		c.Series = append(c.Series, chart.ContinuousSeries{Name: template.HTMLEscapeString(l.name), XValues: xs, YValues: l.values})
	}
	c.Elements = []chart.Renderable{chart.LegendThin(&c)}
	var b bytes.Buffer
	if err := c.Render(chart.SVG, &b); err != nil {
		return "", err
	}
	return template.HTML(b.String()), nil
}

// highest returns the greatest value, at least 1, so that a plot has a height.
func highest(lines []line) float64 {
	top := 1.0
	for _, l := range lines {
		top = max(top, slices.Max(l.values))
	}
	return top
}
