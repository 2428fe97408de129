package reportcmd

import (
	"bytes"
	_ "embed"
	"html/template"
	"io"

	"github.com/jujubehaven/jujubehaven/protocol/report"
)

//go:embed burn.html.tmpl
var pageText string

var pageTemplate = template.Must(template.New("burn").Funcs(template.FuncMap{
	"percent":    percent,
	"rateCells":  func(o report.Objective) []string { return rateCells(&o) },
	"budgetCell": func(b report.Budget) string { return budgetCell(&b) },
}).Parse(pageText))

// page is the data of the template.
type page struct {
	Burn    *report.Burn
	Windows []string
	Plots   []template.HTML
	Notes   []string
}

// writeHTML writes the report as one self-contained HTML file.
func writeHTML(w io.Writer, burn *report.Burn) error {
	data := page{Burn: burn, Windows: windowNames(), Notes: notes(burn)}
	for objective := range objectivesPerService {
		image, err := plotBurn(burn, objective, "svg")
		if err != nil {
			return err
		}
		data.Plots = append(data.Plots, inlineSVG(image))
	}
	return pageTemplate.Execute(w, &data)
}

const objectivesPerService = 2

// inlineSVG strips the XML declaration and comments before the svg element. The
// result is safe as HTML since the plot library escapes service names.
func inlineSVG(image []byte) template.HTML {
	if start := bytes.Index(image, []byte("<svg")); start > 0 {
		image = image[start:]
	}
	return template.HTML(image)
}
