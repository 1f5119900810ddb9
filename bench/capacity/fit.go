package capacity

import "math"

// Point holds the figures measured at one size.
type Point struct {
	X       float64            `json:"x"`
	Figures map[string]float64 `json:"figures"`
}

// Fit is a line through the points of one figure.
type Fit struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// SlopeError is the standard error of the slope.
	SlopeError float64 `json:"slope_error"`
	// Spread is the standard deviation of the points around the line.
	Spread float64 `json:"spread"`
}

// Experiment is a series of points over one variable.
type Experiment struct {
	Name   string         `json:"name"`
	X      string         `json:"x"`
	Points []Point        `json:"points"`
	Fits   map[string]Fit `json:"fits"`
}

func (e *Experiment) add(x int, figures map[string]float64) {
	e.Points = append(e.Points, Point{X: float64(x), Figures: figures})
}

// fit fits a line to each figure that all points have.
func (e *Experiment) fit() {
	e.Fits = make(map[string]Fit)
	if len(e.Points) < 2 {
		return
	}
	for name := range e.Points[0].Figures {
		var x, y []float64
		for _, p := range e.Points {
			x, y = append(x, p.X), append(y, p.Figures[name])
		}
		e.Fits[name] = fitLine(x, y)
	}
}

// fitLine fits a line by least squares. It needs two different values of x.
func fitLine(x, y []float64) Fit {
	n := float64(len(x))
	var meanX, meanY, varX, cov, squares float64
	for i := range x {
		meanX += x[i] / n
		meanY += y[i] / n
	}
	for i := range x {
		varX += (x[i] - meanX) * (x[i] - meanX)
		cov += (x[i] - meanX) * (y[i] - meanY)
	}
	f := Fit{Slope: cov / varX}
	f.Intercept = meanY - f.Slope*meanX
	if len(x) < 3 {
		return f
	}
	for i := range x {
		d := y[i] - f.Intercept - f.Slope*x[i]
		squares += d * d
	}
	f.Spread = math.Sqrt(squares / (n - 2))
	f.SlopeError = f.Spread / math.Sqrt(varX)
	return f
}
