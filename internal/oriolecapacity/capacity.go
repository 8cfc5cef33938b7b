// Package oriolecapacity measures how the cost of the real code grows with its
// sizes, for docs/CAPACITY.md.
package oriolecapacity

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// Slope is a cost measured at several sizes, and the line fitted to it.
type Slope struct {
	// Name says what was measured, Per what the size counts, Unit the cost's
	// unit.
	Name string
	Per  string
	Unit string
	// Sizes and Costs are the measured points.
	Sizes []float64
	Costs []float64
	// Base and Each are the line's cost at size 0 and for each unit of size;
	// Fit is its coefficient of determination.
	Base float64 `json:"Base"`
	Each float64 `json:"Each"`
	Fit  float64 `json:"Fit"`
}

// measurement produces the points of one slope.
type measurement struct {
	name  string
	per   string
	unit  string
	sizes []int
	cost  func(size int) float64
}

// run measures all points and fits the line.
func (m measurement) run() Slope {
	s := Slope{Name: m.name, Per: m.per, Unit: m.unit}
	for _, size := range m.sizes {
		s.Sizes = append(s.Sizes, float64(size))
		s.Costs = append(s.Costs, m.cost(size))
	}
	s.fit()
	return s
}

// fit computes the line of least squares.
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
	var slopes []Slope
	for _, m := range measurements() {
		slopes = append(slopes, m.run())
	}
	return slopes
}

// Print writes the slopes as a table for people.
func Print(w io.Writer, slopes []Slope) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "cost\tunit\tper\tsizes\tmeasured\tat 0\teach\tfit")
	for _, s := range slopes {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%.4g\t%.4g\t%.3f\n", s.Name, s.Unit, s.Per, list(s.Sizes), list(s.Costs), s.Base, s.Each, s.Fit)
	}
	return table.Flush()
}

func list(values []float64) string {
	text := ""
	for i, v := range values {
		if i > 0 {
			text += " "
		}
		text += fmt.Sprintf("%.4g", v)
	}
	return text
}
