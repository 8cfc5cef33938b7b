// Package oriolecapacity measures how the memory, time and message sizes of the
// production code grow with the number of objects, for docs/CAPACITY.md.
package oriolecapacity

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// LinearFit is a straight line fitted to a cost that was measured at several sizes.
type LinearFit struct {
	// Name is the name of the measured cost, Per the objects that Sizes count, and
	// Unit the unit of Costs.
	Name string
	Per  string
	Unit string
	// Sizes and Costs are the measured points: Costs[i] is the cost at Sizes[i].
	Sizes []float64
	Costs []float64
	// Intercept is the cost at size 0.
	Intercept float64 `json:"Base"`
	// Slope is the additional cost per unit of size.
	Slope float64 `json:"Each"`
	// RSquared is the coefficient of determination (R²) of the line.
	RSquared float64 `json:"Fit"`
}

// measurement is a cost function and the sizes to measure it at.
type measurement struct {
	name  string
	per   string
	unit  string
	sizes []int
	cost  func(size int) float64
}

// run measures the cost at each size and fits a line to it.
func (m measurement) run() LinearFit {
	f := LinearFit{Name: m.name, Per: m.per, Unit: m.unit}
	for _, size := range m.sizes {
		f.Sizes = append(f.Sizes, float64(size))
		f.Costs = append(f.Costs, m.cost(size))
	}
	f.fit()
	return f
}

// fit fits the line by least squares.
func (f *LinearFit) fit() {
	n := float64(len(f.Sizes))
	var sumX, sumY, sumXX, sumXY float64
	for i, x := range f.Sizes {
		sumX += x
		sumY += f.Costs[i]
		sumXX += x * x
		sumXY += x * f.Costs[i]
	}
	f.Slope = (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	f.Intercept = (sumY - f.Slope*sumX) / n
	var residual, total float64
	for i, x := range f.Sizes {
		residual += math.Pow(f.Costs[i]-f.Intercept-f.Slope*x, 2)
		total += math.Pow(f.Costs[i]-sumY/n, 2)
	}
	f.RSquared = 1
	if total > 0 {
		f.RSquared = 1 - residual/total
	}
}

// Measure runs all measurements, one after the other.
func Measure() []LinearFit {
	var fits []LinearFit
	for _, m := range measurements() {
		fits = append(fits, m.run())
	}
	return fits
}

// Print writes the fitted lines as a human-readable table.
func Print(w io.Writer, fits []LinearFit) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "cost\tunit\tper\tsizes\tmeasured\tintercept\tslope\tR²")
	for _, f := range fits {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%.4g\t%.4g\t%.3f\n", f.Name, f.Unit, f.Per, joinNumbers(f.Sizes), joinNumbers(f.Costs), f.Intercept, f.Slope, f.RSquared)
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
