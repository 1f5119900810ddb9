package main

import "math"

// fit is a straight line through measured points.
type fit struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// SlopeError is the standard error of the slope; it is 0 with fewer than three points.
	SlopeError float64 `json:"slope_error"`
	// Residual is the standard deviation of the points around the line.
	Residual float64 `json:"residual"`
}

// fitLine fits a line by least squares. It needs two different values of x.
func fitLine(x, y []float64) (fit, bool) {
	n := float64(len(x))
	if len(x) < 2 || len(x) != len(y) {
		return fit{}, false
	}
	var meanX, meanY float64
	for i := range x {
		meanX += x[i] / n
		meanY += y[i] / n
	}
	var varX, cov float64
	for i := range x {
		varX += (x[i] - meanX) * (x[i] - meanX)
		cov += (x[i] - meanX) * (y[i] - meanY)
	}
	if varX == 0 {
		return fit{}, false
	}
	f := fit{Slope: cov / varX}
	f.Intercept = meanY - f.Slope*meanX
	if len(x) > 2 {
		var squares float64
		for i := range x {
			d := y[i] - f.Intercept - f.Slope*x[i]
			squares += d * d
		}
		f.Residual = math.Sqrt(squares / (n - 2))
		f.SlopeError = f.Residual / math.Sqrt(varX)
	}
	return f, true
}
