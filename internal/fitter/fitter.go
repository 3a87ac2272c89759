// Package fitter fits straight lines to measured points by least squares.
//
// The slope of a line through measurements at three or more sizes is the marginal
// cost of the measured quantity, and its largest residual shows how far the
// measurements deviate from a straight line. The meaning of the points is left to
// the users of the package.
package fitter

import (
	"math"

	"github.com/rotisserie/eris"
)

// MinPoints is the minimum number of points of a fit: two points always lie on a
// line, so their residual shows no error.
const MinPoints = 3

// Point is the value measured at one size.
type Point struct {
	Size  float64
	Value float64
}

// Line is a fitted line.
type Line struct {
	// Intercept is the value at size zero.
	Intercept float64
	// Slope is the increase of the value for each unit of size.
	Slope float64
	// Residual is the largest vertical distance of a point from the line, never
	// negative.
	Residual float64
}

// At returns the line's value at a size.
func (line Line) At(size float64) float64 { return line.Intercept + line.Slope*size }

// Fit returns the least-squares line. It fails if there are fewer than MinPoints
// points or all have the same size.
func Fit(points []Point) (Line, error) {
	if len(points) < MinPoints {
		return Line{}, eris.Errorf("fit a line: got %d points, need at least %d", len(points), MinPoints)
	}
	meanSize, meanValue := means(points)
	var covariance, variance float64
	for _, point := range points {
		covariance += (point.Size - meanSize) * (point.Value - meanValue)
		variance += (point.Size - meanSize) * (point.Size - meanSize)
	}
	if variance == 0 {
		return Line{}, eris.New("fit a line: all points have the same size")
	}
	line := Line{Slope: covariance / variance}
	line.Intercept = meanValue - line.Slope*meanSize
	for _, point := range points {
		line.Residual = max(line.Residual, math.Abs(point.Value-line.At(point.Size)))
	}
	return line, nil
}

func means(points []Point) (size, value float64) {
	for _, point := range points {
		size += point.Size
		value += point.Value
	}
	count := float64(len(points))
	return size / count, value / count
}
