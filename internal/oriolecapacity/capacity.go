// Package oriolecapacity measures how the memory, time and message sizes of the
// production code grow with the number of objects, for docs/CAPACITY.md.
package oriolecapacity

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// Slope is a straight line fitted to a cost that was measured at several sizes.
type Slope struct {
	// Name says what was measured, Per what Sizes count, and Unit what Costs are
	// in.
	Name string
	Per  string
	Unit string
	// Sizes and Costs are the measured points: Costs[i] is the cost at Sizes[i].
	Sizes []float64
	Costs []float64
	// Base is the cost at size 0.
	Base float64 `json:"Base"`
	// Each is the additional cost per unit of size.
	Each float64 `json:"Each"`
	// Fit is the coefficient of determination (R²) of the line.
	Fit float64 `json:"Fit"`
}

// measurement is a cost function and the sizes to evaluate it at.
type measurement struct {
	name  string
	per   string
	unit  string
	sizes []int
	cost  func(size int) float64
}

// run measures the cost at each size and fits a line to it.
func (m measurement) run() Slope {
	s := Slope{Name: m.name, Per: m.per, Unit: m.unit}
	for _, size := range m.sizes {
		s.Sizes = append(s.Sizes, float64(size))
		s.Costs = append(s.Costs, m.cost(size))
	}
	s.fit()
	return s
}

// fit fits the line by least squares.
func (s *Slope) fit() {
	n := float64(len(s.Sizes))
	var sumX, sumY, sumXX, sumXY float64
	for i, x := range s.Sizes {
		sumX += x
		sumY += s.Costs[i]
		sumXX += x * x
		sumXY += x * s.Costs[i]
	}
	s.Each = (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	s.Base = (sumY - s.Each*sumX) / n
	var residual, total float64
	for i, x := range s.Sizes {
		residual += math.Pow(s.Costs[i]-s.Base-s.Each*x, 2)
		total += math.Pow(s.Costs[i]-sumY/n, 2)
	}
	s.Fit = 1
	if total > 0 {
		s.Fit = 1 - residual/total
	}
}

// Measure runs all measurements, one after the other.
func Measure() []Slope {
	var fits []Slope
	for _, m := range measurements() {
		fits = append(fits, m.run())
	}
	return fits
}

// Print writes the fitted lines as a human-readable table.
func Print(w io.Writer, fits []Slope) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "cost\tunit\tper\tsizes\tmeasured\tintercept\tslope\tR²")
	for _, s := range fits {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%.4g\t%.4g\t%.3f\n", s.Name, s.Unit, s.Per, joinNumbers(s.Sizes), joinNumbers(s.Costs), s.Base, s.Each, s.Fit)
	}
	return table.Flush()
}

func joinNumbers(values []float64) string {
	text := ""
	for i, v := range values {
		if i > 0 {
			text += " "
		}
		text += fmt.Sprintf("%.4g", v)
	}
	return text
}
