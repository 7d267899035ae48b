package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/rotisserie/eris"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// The size of a plot.
const (
	plotWidth  = 12 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// slope is a cost measured at several sizes with its linear regression.
type slope struct {
	Name string `json:"name"`
	// Unit is the unit of the cost.
	Unit string `json:"unit"`
	// Per is what the size counts, such as members.
	Per   string    `json:"per"`
	Sizes []float64 `json:"sizes"`
	// Values has the cost measured at each size.
	Values []float64 `json:"values"`
	// Intercept is the cost at size 0 by the regression.
	Intercept float64 `json:"base"`
	// Gradient is the cost that each unit of size adds.
	Gradient float64 `json:"each"`
	RSquared float64 `json:"r_squared"`
}

// newSlope measures the cost at each size and fits a line to the costs.
func newSlope(name, unit, per string, sizes []float64, measure func(size int) (float64, error)) (*slope, error) {
	s := &slope{Name: name, Unit: unit, Per: per, Sizes: sizes}
	for _, size := range sizes {
		value, err := measure(int(size))
		if err != nil {
			return nil, eris.Wrapf(err, "measure %s at %g", name, size)
		}
		s.Values = append(s.Values, value)
	}
	s.Intercept, s.Gradient = stat.LinearRegression(s.Sizes, s.Values, nil, false)
	s.RSquared = stat.RSquared(s.Sizes, s.Values, nil, s.Intercept, s.Gradient)
	return s, nil
}

// at returns the line's value at a size.
func (s *slope) at(size float64) float64 { return s.Intercept + s.Gradient*size }

// last returns the cost measured at the last size, which is the greatest.
func (s *slope) last() float64 { return s.Values[len(s.Values)-1] }

// save writes the data and the plot.
func (s *slope) save(folder string) error {
	body, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode slope")
	}
	if err := os.WriteFile(filepath.Join(folder, s.Name+".json"), append(body, '\n'), 0o644); err != nil {
		return eris.Wrap(err, "write slope")
	}
	return s.plot(filepath.Join(folder, s.Name+".svg"))
}

func (s *slope) plot(path string) error {
	p := plot.New()
	p.Title.Text = s.Name
	p.X.Label.Text = s.Per
	p.Y.Label.Text = s.Unit
	p.Y.Min = 0
	points := make(plotter.XYs, len(s.Sizes))
	for i := range s.Sizes {
		points[i].X, points[i].Y = s.Sizes[i], s.Values[i]
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return eris.Wrap(err, "plot points")
	}
	p.Add(scatter, plotter.NewFunction(func(x float64) float64 { return s.at(x) }), plotter.NewGrid())
	return eris.Wrap(p.Save(plotWidth, plotHeight, path), "save plot")
}

// microseconds returns the mean time of one call in microseconds, measured by
// testing.Benchmark.
func microseconds(call func()) float64 {
	result := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			call()
		}
	})
	return float64(result.T.Nanoseconds()) / float64(result.N) / 1000
}

// row returns the slope's row in the table of slopes on the page.
func (s *slope) row() string {
	return fmt.Sprintf("| [%s](capacity/%s.json) | %s to %s %s | %s %s + %s per %s | %.3f | [plot](capacity/%s.svg) |",
		s.Name, s.Name, formatNumber(s.Sizes[0]), formatNumber(s.Sizes[len(s.Sizes)-1]), s.Per, formatNumber(s.Intercept), s.Unit, formatNumber(s.Gradient), s.Per, s.RSquared, s.Name)
}

func formatNumber(value float64) string { return fmt.Sprintf("%.3g", value) }
