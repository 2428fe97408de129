package bench

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// adminTimeout bounds a request to a balancer's admin address.
const adminTimeout = 2 * time.Second

// get requests a path of the admin address and passes the body to read. A status
// other than 200 is an error.
func (h *host) get(path string, read func(io.Reader) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.admin().String()+path, http.NoBody)
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return errors.Newf("%s answered %s", path, res.Status)
	}
	return read(res.Body)
}

func (h *host) ready() bool {
	return h.get("/readyz", func(io.Reader) error { return nil }) == nil
}

func (h *host) getJSON(path string, into any) error {
	return h.get(path, func(body io.Reader) error { return json.NewDecoder(body).Decode(into) })
}

// counterValues holds the values of the unlabeled counters of one scrape, by
// name.
type counterValues map[string]float64

func (h *host) scrape() (counterValues, error) {
	out := make(counterValues)
	err := h.get("/metrics", func(body io.Reader) error {
		parser := expfmt.NewTextParser(model.UTF8Validation)
		families, err := parser.TextToMetricFamilies(body)
		for name, family := range families {
			if samples := family.GetMetric(); len(samples) == 1 && samples[0].GetCounter() != nil {
				out[name] = samples[0].GetCounter().GetValue()
			}
		}
		return err
	})
	return out, err
}
