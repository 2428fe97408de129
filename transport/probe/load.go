package probe

import (
	"bytes"
	"math"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// parseLoad parses the load, 0 to 1, and whether the target sheds load from the
// Prometheus text format. The load is -1 if there is an error.
func parseLoad(body []byte) (load float64, shedding bool, err error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(body))
	if err != nil {
		return -1, false, errors.Mark(errors.Wrap(err, "parse load metrics"), ErrContent)
	}
	gauge := func(name string) (float64, bool) {
		metrics := families[name].GetMetric()
		switch {
		case len(metrics) == 0:
			return 0, false
		case metrics[0].Gauge != nil:
			return metrics[0].Gauge.GetValue(), true
		case metrics[0].Untyped != nil:
			return metrics[0].Untyped.GetValue(), true
		}
		return 0, false
	}
	load, ok := gauge(LoadMetric)
	switch {
	case !ok:
		return -1, false, errors.Wrapf(ErrContent, "gauge %s is missing", LoadMetric)
	case math.IsNaN(load) || load < 0:
		return -1, false, errors.Wrapf(ErrContent, "%s is %v, want a value from 0 to 1", LoadMetric, load)
	}
	shed, ok := gauge(SheddingMetric)
	return min(load, 1), ok && shed != 0, nil
}
