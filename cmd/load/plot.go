package load

import (
	"html/template"
	"io"
	"math"
	"strconv"
)

const (
	plotWidth  = 640.0
	plotHeight = 280.0
	plotLeft   = 70.0
	plotTop    = 30.0
	barWidth   = 30.0
)

type bar struct {
	X, Y, W, H float64
	Colour     string
	Label      string
}

var plotPage = template.Must(template.New("plot").Parse(`<svg xmlns="http://www.w3.org/2000/svg" width="760" height="360" font-family="sans-serif" font-size="12">
<rect width="760" height="360" fill="#ffffff"/>
<text x="70" y="18" font-size="14">Time to first token by prompt length (logarithmic): p50, p95, p99</text>
{{range .Bars}}<rect x="{{.X}}" y="{{.Y}}" width="{{.W}}" height="{{.H}}" fill="{{.Colour}}"/>
<text x="{{.X}}" y="{{.Y}}" dy="-3" font-size="9">{{.Label}}</text>
{{end}}{{range .Names}}<text x="{{.X}}" y="330">{{.Label}}</text>
{{end}}<text x="70" y="350">short requests slow down by {{printf "%.2f" .Slowdown}} at p99 beside long ones</text>
</svg>
`))

// Plot writes a bar chart of the report's times to first token in SVG format.
func (r Report) Plot(w io.Writer) error {
	var bars, names []bar
	step := plotWidth / float64(len(r.Buckets))
	for i, b := range r.Buckets {
		x := plotLeft + float64(i)*step
		names = append(names, bar{X: x, Label: b.Name})
		q := b.FirstToken
		bars = append(bars, newBar(x, q.P50, "#4c78a8"), newBar(x+barWidth, q.P95, "#f58518"), newBar(x+2*barWidth, q.P99, "#e45756"))
	}
	return plotPage.Execute(w, map[string]any{"Bars": bars, "Names": names, "Slowdown": r.Slowdown.P99})
}

// newBar returns a bar whose height is proportional to the logarithm of the time,
// from 1 ms to 100 s.
func newBar(x, ms float64, colour string) bar {
	const decades = 5
	h := plotHeight * min(1, math.Log10(max(ms, 1))/decades)
	return bar{X: x, Y: plotTop + plotHeight - h, W: barWidth - 4, H: h, Colour: colour, Label: formatMillis(ms)}
}

func formatMillis(ms float64) string {
	if ms == 0 {
		return "-"
	}
	return strconv.FormatFloat(ms, 'f', 0, 64) + " ms"
}
