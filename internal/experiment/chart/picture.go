// Package chart plots a run over time: the fraction of the benefit in time, the executions in each zone and the reads
// from the origin.
package chart

import (
	"fmt"
	"image/color"
	"slices"

	"bendtrestle/internal/experiment"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"os"
)

const slice = 0.25 // seconds per point: half a step of a zone's recovery ramp

// Draw writes a PNG image with the plots of a run.
func Draw(path string, s *experiment.Scenario, rec *experiment.Records) error {
	n := int((rec.To - rec.From) / slice)
	if n < 2 {
		return fmt.Errorf("a run of %.1f s is too short for a plot", rec.To-rec.From)
	}
	due, timely, fetches := make([]float64, n), make([]float64, n), make([]float64, n)
	zones := map[string][]float64{}
	at := func(t float64) (int, bool) {
		i := int((t - rec.From) / slice)
		return i, t >= rec.From && i < n
	}
	for _, o := range rec.Clients.Requests {
		if i, in := at(o.Due); in {
			due[i] += o.Type.Benefit
			if _, ok := o.Served(); ok {
				timely[i] += o.Type.Benefit
			}
		}
	}
	for _, x := range rec.Fleet.Executions {
		i, in := at(x.First)
		if zones[x.Server.Zone] == nil {
			zones[x.Server.Zone] = make([]float64, n)
		}
		if in {
			zones[x.Server.Zone][i] += 1 / slice
		}
	}
	for _, x := range rec.Fleet.Fetches {
		if i, in := at(x.At); in && !x.Write {
			fetches[i] += 1 / slice
		}
	}
	for i := range due {
		timely[i] /= max(due[i], 1e-9)
	}
	benefit, err := graph("part of the benefit in time", map[string][]float64{"": timely})
	if err != nil {
		return err
	}
	benefit.Y.Min, benefit.Y.Max = 0, 1.02
	load, err := graph("executions a second, by zone", zones)
	if err != nil {
		return err
	}
	origin, err := graph("reads of the origin a second", map[string][]float64{"": fetches})
	if err != nil {
		return err
	}
	benefit.Title.Text = fmt.Sprintf("%s: %s", s.Name, s.About)
	origin.X.Label.Text = "seconds"
	img := vgimg.New(28*vg.Centimeter, 24*vg.Centimeter)
	plots := [][]*plot.Plot{{benefit}, {load}, {origin}}
	canvases := plot.Align(plots, draw.Tiles{Rows: 3, Cols: 1, PadX: vg.Millimeter, PadY: 2 * vg.Millimeter}, draw.New(img))
	for i, row := range plots {
		for _, f := range s.Faults { // dashed lines at the begin and end of each fault
			for _, x := range []float64{f.At, f.At + f.For} {
				l, err := plotter.NewLine(plotter.XYs{{X: x, Y: row[0].Y.Min}, {X: x, Y: row[0].Y.Max}})
				if err != nil {
					return err
				}
				l.Color, l.Dashes = color.Gray{150}, []vg.Length{vg.Points(2), vg.Points(2)}
				row[0].Add(l)
			}
		}
		row[0].Draw(canvases[i][0])
	}
	out, err := os.Create(path)
	if err != nil {
		return err
	}
	if _, err = (vgimg.PngCanvas{Canvas: img}).WriteTo(out); err != nil {
		out.Close()
		return err
	}
	return out.Close()
}

func graph(about string, lines map[string][]float64) (*plot.Plot, error) {
	p := plot.New()
	p.Y.Label.Text = about
	p.Legend.Top = true
	var names []string
	for name := range lines {
		names = append(names, name)
	}
	slices.Sort(names)
	for i, name := range names {
		var points plotter.XYs
		for x, y := range lines[name] {
			points = append(points, plotter.XY{X: (float64(x) + 0.5) * slice, Y: y})
		}
		l, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		l.Color = plotutil.Color(i)
		p.Add(l)
		if name != "" {
			p.Legend.Add(name, l)
		}
	}
	p.Y.Min = 0
	return p, nil
}
