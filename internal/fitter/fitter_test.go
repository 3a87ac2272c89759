package fitter_test

import (
	"testing"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/dotterelrill/dotterelrill/internal/fitter"
)

// tolerance allows for floating-point rounding errors.
const tolerance = 1e-6

func TestFitFindsTheLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slope := rapid.Float64Range(-1000, 1000).Draw(t, "Slope")
		intercept := rapid.Float64Range(-1000, 1000).Draw(t, "Intercept")
		var points []fitter.Point
		for index := range rapid.IntRange(fitter.MinPoints, 8).Draw(t, "Points") {
			size := float64(index + 1)
			points = append(points, fitter.Point{Size: size, Value: intercept + slope*size})
		}
		line, err := fitter.Fit(points)
		if err != nil {
			t.Fatal(err)
		}
		for _, distance := range []float64{line.Slope - slope, line.Intercept - intercept, line.Residual} {
			if distance > tolerance || distance < -tolerance {
				t.Fatalf("fitted %+v, drawn slope %g and intercept %g", line, slope, intercept)
			}
		}
	})
}

func TestFitReturnsLargestResidual(t *testing.T) {
	c := quicktest.New(t)
	line, err := fitter.Fit([]fitter.Point{{Size: 0, Value: 0}, {Size: 1, Value: 3}, {Size: 2, Value: 0}})
	c.Assert(err, quicktest.IsNil)
	c.Assert(line, quicktest.Equals, fitter.Line{Intercept: 1, Slope: 0, Residual: 2})
}

func TestFitRejectsUndeterminedLine(t *testing.T) {
	c := quicktest.New(t)
	_, err := fitter.Fit([]fitter.Point{{Size: 1, Value: 1}, {Size: 2, Value: 2}})
	c.Assert(err, quicktest.ErrorMatches, ".*2 points.*")
	_, err = fitter.Fit([]fitter.Point{{Size: 1, Value: 1}, {Size: 1, Value: 2}, {Size: 1, Value: 3}})
	c.Assert(err, quicktest.ErrorMatches, ".*the same size.*")
}
