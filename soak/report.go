package soak

import (
	"bytes"
	"errors"
	"fmt"
	"html/template"
	"image/color"
	"net/http"
	"os"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	// binWidth is the time that each point of the request plot covers.
	binWidth = 500 * time.Millisecond
	// lateThreshold is the latency above which a complete answer counts as late: twice that
	// of the longest stream without faults.
	lateThreshold = 3 * time.Second

	plotWidth      = 24 * vg.Centimeter
	plotHeight     = 9 * vg.Centimeter
	faultRowHeight = 0.5 * vg.Centimeter
)

// outcome is how a request ended for its caller.
type outcome int

const (
	outcomeServed  outcome = iota
	outcomeLate            // served after more than lateThreshold
	outcomeRefused         // answered with a status that says it has not run
	outcomeFailed
	outcomeAbandoned // the caller closed the connection early
)

// outcomes holds the label and colour of each outcome, by its value.
var outcomes = []struct {
	name  string
	color color.RGBA
}{
	{"served", color.RGBA{0x2c, 0x7f, 0xb8, 0xff}},
	{"late", color.RGBA{0xfe, 0xc4, 0x4f, 0xff}},
	{"refused", color.RGBA{0x75, 0x6b, 0xb1, 0xff}},
	{"failed", color.RGBA{0xd9, 0x48, 0x01, 0xff}},
	{"caller left", color.RGBA{0x96, 0x96, 0x96, 0xff}},
}

// outcome classifies the request for the report.
func (rec *requestRecord) outcome() outcome {
	switch {
	case !rec.abandonedAt.IsZero():
		return outcomeAbandoned
	case rec.status == http.StatusOK && rec.err == nil && rec.ended.Sub(rec.began) > lateThreshold:
		return outcomeLate
	case rec.status == http.StatusOK && rec.err == nil:
		return outcomeServed
	case rec.err == nil && notExecutedStatuses[rec.status]:
		return outcomeRefused
	}
	return outcomeFailed
}

// page holds the values that pageTemplate shows.
type page struct {
	Seed       uint64
	Routers    int
	Violations []string
	Counts     []count
	Plots      []template.HTML // SVG
}

type count struct {
	Name string
	N    int
}

var pageTemplate = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en">
<meta charset="utf-8">
<title>Soak run, seed {{.Seed}}</title>
<style>body { font-family: sans-serif; max-width: 60em; margin: 2em auto } td { padding-right: 2em }</style>
<h1>Soak run, seed {{.Seed}}, {{.Routers}} routers</h1>
<h2>Requests</h2>
<table>{{range .Counts}}<tr><td>{{.Name}}</td><td>{{.N}}</td></tr>{{end}}</table>
<h2>Violated invariants</h2>
{{if .Violations}}<ul>{{range .Violations}}<li>{{.}}</li>{{end}}</ul>{{else}}<p>None.</p>{{end}}
<h2>Requests a second, by start time</h2>
{{index .Plots 0}}
<h2>Faults and changes</h2>
{{index .Plots 1}}
</html>
`))

// report writes an HTML page about a finished run. The page loads no other files.
func (r *Run) report(path string, violations []string) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("report: %w", err)
		}
	}()
	p := page{Seed: r.Seed, Routers: r.Routers, Violations: violations}
	for e, d := range outcomes {
		c := count{Name: d.name}
		for _, rec := range r.callers.records {
			if rec.outcome() == outcome(e) {
				c.N++
			}
		}
		p.Counts = append(p.Counts, c)
	}
	for _, draw := range []func() (template.HTML, error){r.plotRequests, r.plotFaults} {
		svg, err := draw()
		if err != nil {
			return err
		}
		p.Plots = append(p.Plots, svg)
	}
	var b bytes.Buffer
	if err = pageTemplate.Execute(&b, p); err != nil {
		return err
	}
	return os.WriteFile(path, b.Bytes(), 0o644)
}

// span returns when the first request started and the time from then until the last one
// started.
func (r *Run) span() (start time.Time, length time.Duration) {
	for _, rec := range r.callers.records {
		if start.IsZero() || rec.began.Before(start) {
			start = rec.began
		}
		length = max(length, rec.began.Sub(start))
	}
	return start, length
}

// plotRequests draws the requests a second over time, one line for each outcome.
func (r *Run) plotRequests() (template.HTML, error) {
	start, length := r.span()
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "s", "requests a second"
	p.Legend.Top = true
	for e, d := range outcomes {
		points := make(plotter.XYs, length/binWidth+1)
		for i := range points {
			points[i].X = float64(i) * binWidth.Seconds()
		}
		for _, rec := range r.callers.records {
			if rec.outcome() == outcome(e) {
				points[rec.began.Sub(start)/binWidth].Y += 1 / binWidth.Seconds()
			}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", err
		}
		line.Color, line.Width = d.color, vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(d.name, line)
	}
	return renderSVG(p, plotHeight)
}

// plotFaults draws each event as a bar over its duration, with one row for each name.
// Planned changes and faults differ in colour.
func (r *Run) plotFaults() (template.HTML, error) {
	start, length := r.span()
	r.events.mu.Lock()
	defer r.events.mu.Unlock()
	names := make([]string, 0, len(faults))
	for _, e := range r.events.all {
		if !slices.Contains(names, e.name) {
			names = append(names, e.name)
		}
	}
	slices.Sort(names)
	p := plot.New()
	p.X.Label.Text = "s"
	p.X.Min, p.X.Max = 0, length.Seconds()
	p.NominalY(names...)
	for _, e := range r.events.all {
		row := float64(slices.Index(names, e.name))
		till := e.till
		if till.IsZero() {
			till = start.Add(length)
		}
		bar, err := plotter.NewLine(plotter.XYs{{X: e.from.Sub(start).Seconds(), Y: row}, {X: till.Sub(start).Seconds(), Y: row}})
		if err != nil {
			return "", err
		}
		bar.Width = faultRowHeight / 2
		bar.Color = outcomes[outcomeFailed].color
		if e.scope == scopePlanned || e.scope == scopeBanned {
			bar.Color = outcomes[outcomeServed].color
		}
		p.Add(bar)
	}
	return renderSVG(p, vg.Length(len(names)+1)*faultRowHeight+2*vg.Centimeter)
}

// renderSVG returns a plot as an <svg> element for embedding in the page.
func renderSVG(p *plot.Plot, height vg.Length) (template.HTML, error) {
	w, err := p.WriterTo(plotWidth, height, "svg")
	if err != nil {
		return "", err
	}
	var b bytes.Buffer
	if _, err = w.WriteTo(&b); err != nil {
		return "", err
	}
	// An XML declaration before the root element is not allowed in embedded SVG.
	_, root, ok := bytes.Cut(b.Bytes(), []byte("<svg"))
	if !ok {
		return "", errors.New("rendered plot has no <svg> element")
	}
	return template.HTML("<svg" + string(root)), nil
}
