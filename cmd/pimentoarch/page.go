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
	// legendHeight is the height of the legend above a plot in pixels.
	legendHeight = 40
	// maxSeries is the maximum number of lines of a plot. The most frequent names get a
	// line each. One more line has the sum of the remaining names.
	maxSeries = 7
)

// series is one line of a plot, with a value for each slot.
type series struct {
	name   string
	values []float64
}

// write writes the page. It is self-contained: it refers to no other files.
func (r *report) write(w io.Writer) error {
	plots := []struct {
		title, unit string
		series      []series
	}{
		{"Requests ended", "in a slot", []series{r.series("all", func(s *slot) float64 { return float64(s.ended) })}},
		{"Refused by reason", "in a slot", r.countSeries(func(s *slot) map[string]int { return s.refused })},
		{"Time of requests", "ms", []series{
			r.series("p50", func(s *slot) float64 { return float64(s.durations.ValueAtQuantile(50)) }),
			r.series("p99", func(s *slot) float64 { return float64(s.durations.ValueAtQuantile(99)) }),
		}},
		{"Changes of belief", "in a slot", r.countSeries(func(s *slot) map[string]int { return s.stateChanges })},
	}
	type figure struct {
		Title string
		SVG   template.HTML
	}
	var figures []figure
	for _, p := range plots {
		if len(p.series) == 0 {
			continue
		}
		svg, err := r.plot(p.unit, p.series)
		if err != nil {
			return err
		}
		figures = append(figures, figure{p.title, svg})
	}
	return page.Execute(w, map[string]any{"Report": r, "Figures": figures})
}

// series returns a series with the value that the function returns for each slot.
func (r *report) series(name string, value func(*slot) float64) series {
	l := series{name: name}
	for i := range r.Slots {
		l.values = append(l.values, value(&r.Slots[i]))
	}
	return l
}

// countSeries returns a series for each of the most frequent names that count returns for
// the slots, and one for the sum of the remaining names.
func (r *report) countSeries(count func(*slot) map[string]int) []series {
	total := make(map[string]int)
	for i := range r.Slots {
		for name, n := range count(&r.Slots[i]) {
			total[name] += n
		}
	}
	names := slices.SortedFunc(maps.Keys(total), func(a, b string) int {
		return cmp.Or(cmp.Compare(total[b], total[a]), cmp.Compare(a, b))
	})
	var list []series
	for _, name := range names[:min(len(names), maxSeries-1)] {
		list = append(list, r.series(name, func(s *slot) float64 { return float64(count(s)[name]) }))
	}
	if rest := names[len(list):]; len(rest) > 0 {
		list = append(list, r.series("others", func(s *slot) float64 {
			sum := 0
			for _, name := range rest {
				sum += count(s)[name]
			}
			return float64(sum)
		}))
	}
	return list
}

// plot renders a list of series as SVG over the seconds since the first log line.
func (r *report) plot(unit string, list []series) (template.HTML, error) {
	var xs []float64
	for i := range r.Slots {
		xs = append(xs, (time.Duration(i) * r.Slot).Seconds())
	}
	if len(xs) == 1 { // The chart library needs two points to draw a line.
		xs = append(xs, r.Slot.Seconds())
		for i := range list {
			list[i].values = append(list[i].values, list[i].values[0])
		}
	}
	c := chart.Chart{
		Width:      plotWidth,
		Height:     plotHeight,
		Background: chart.Style{Padding: chart.Box{Top: legendHeight, Left: 20, Right: 20, Bottom: 10}},
		XAxis:      chart.XAxis{Name: "seconds", ValueFormatter: chart.IntValueFormatter},
		YAxis:      chart.YAxis{Name: unit, ValueFormatter: chart.IntValueFormatter, Range: &chart.ContinuousRange{Min: 0, Max: maxValue(list)}},
	}
	for _, l := range list {
		// Names come from logs, and the library doesn't escape them.
		c.Series = append(c.Series, chart.ContinuousSeries{Name: template.HTMLEscapeString(l.name), XValues: xs, YValues: l.values})
	}
	c.Elements = []chart.Renderable{chart.LegendThin(&c)}
	var b bytes.Buffer
	if err := c.Render(chart.SVG, &b); err != nil {
		return "", err
	}
	return template.HTML(b.String()), nil
}

// maxValue returns the greatest value of the series. It is at least 1, so that the
// range of the y axis isn't empty.
func maxValue(list []series) float64 {
	top := 1.0
	for _, l := range list {
		top = max(top, slices.Max(l.values))
	}
	return top
}
