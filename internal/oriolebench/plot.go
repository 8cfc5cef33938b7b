package oriolebench

import (
	"io"

	"github.com/pkg/errors"
	"github.com/wcharczuk/go-chart/v2"
)

// legendHeight is the height of the legend's single line, in pixels.
const legendHeight = 30

// Plot writes an SVG chart of the earned value as a fraction of the possible
// value for each second, with one line for each policy. It sums up the results of
// the same policy.
func Plot(w io.Writer, results []Result) (err error) {
	defer func() { err = errors.WithMessage(err, "plot") }()
	graph := chart.Chart{
		Background: chart.Style{Padding: chart.Box{Top: legendHeight}},
		XAxis:      chart.XAxis{Name: "second in which requests arrived"},
		YAxis:      chart.YAxis{Name: "earned fraction of possible value", Range: &chart.ContinuousRange{Min: 0, Max: 1}},
	}
	graph.Series = series(results)
	if len(graph.Series) == 0 {
		return errors.New("no results")
	}
	graph.Elements = []chart.Renderable{chart.LegendThin(&graph)}
	return graph.Render(chart.SVG, w)
}

// series returns a line for each policy, in the order of their first results.
func series(results []Result) []chart.Series {
	var policies []string
	sums := make(map[string][]Second)
	for _, r := range results {
		if sums[r.Policy] == nil {
			policies = append(policies, r.Policy)
			sums[r.Policy] = make([]Second, len(r.Seconds))
		}
		for i, second := range r.Seconds {
			sums[r.Policy][i].Earned += second.Earned
			sums[r.Policy][i].Possible += second.Possible
		}
	}
	var result []chart.Series
	for _, policy := range policies {
		result = append(result, seriesOf(policy, sums[policy]))
	}
	return result
}

func seriesOf(policy string, seconds []Second) chart.Series {
	line := chart.ContinuousSeries{Name: policy}
	for i, second := range seconds {
		if second.Possible > 0 {
			line.XValues = append(line.XValues, float64(i))
			line.YValues = append(line.YValues, second.Earned/second.Possible)
		}
	}
	return line
}
