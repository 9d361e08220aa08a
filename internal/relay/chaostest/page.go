package chaostest

import (
	"fmt"
	"html/template"
	"io"

	"larchrouter/internal/relay/scenario"
)

var page = template.Must(template.New("report").Funcs(template.FuncMap{
	"part":   ratio,
	"float":  func(n int) float64 { return float64(n) },
	"counts": counts,
}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title><style>
body { font: 15px/1.5 system-ui, sans-serif; margin: 2em auto; max-width: 72em; padding: 0 1em; color: #222 }
table { border-collapse: collapse; margin: 1em 0 } th, td { padding: .15em .8em; text-align: right; border-bottom: 1px solid #ddd }
th:first-child, td:first-child { text-align: left } pre { background: #f6f6f6; padding: 1em; overflow: auto }
.bad { color: #a00 } .good { color: #070 } svg { max-width: 100%; height: auto }
</style></head><body>
<h1>{{.Title}}</h1><p>{{.About}}</p>
{{range .Runs}}
<h2>{{.Report.Program}}: {{.Report.Relays}} relays, seed {{.Report.Seed}}</h2>
{{if .Report.Findings}}<ul class="bad">{{range .Report.Findings}}<li><b>{{.Rule}}</b>: {{.Text}}</li>{{end}}</ul>
{{else}}<p class="good">Every bound held.</p>{{end}}
{{.Plot}}
<table><tr><th>phase</th><th>from</th><th>to</th><th>handed in</th><th>hosts take</th><th>offered</th><th>peak</th><th>refused</th><th>delivered</th><th>of possible</th></tr>
{{range .Report.Phases}}<tr><td>{{.Name}}</td><td>{{.From}}</td><td>{{.To}}</td><td>{{.Handed}}</td><td>{{printf "%.0f" .Takes}}</td>
<td>{{printf "%.2f" .Offered}}</td><td>{{printf "%.2f" .Peak}}</td><td>{{.Refused}}</td><td>{{printf "%.2f" .Served}}</td><td>{{printf "%.2f" .Possible}}</td></tr>
{{end}}</table>
<p>{{counts .Report.Clients}}. Notes for each first try {{printf "%.1f" (part (float .Report.Notes) (float .Report.Tries))}},
bytes {{printf "%.0f" (part (float .Report.Bytes) (float .Report.Tries))}}.</p>
<details><summary>Second by second</summary><table>
<tr><th>second</th><th>phase</th><th>handed in</th><th>hosts take</th><th>calls</th><th>refused</th><th>delivered</th></tr>
{{range .Report.Seconds}}<tr><td>{{.From}}</td><td>{{.Name}}</td><td>{{.Handed}}</td><td>{{printf "%.0f" .Takes}}</td><td>{{.Calls}}</td><td>{{.Refused}}</td><td>{{.Delivered}}</td></tr>
{{end}}</table></details>
{{end}}
<h2>What was done</h2><table><tr><th>at</th><th>what</th></tr>{{range .Steps}}<tr><td>{{.At}}</td><td style="text-align:left">{{.What}}</td></tr>{{end}}</table>
<h2>The scenario</h2><pre>{{.Source}}</pre>
</body></html>
`))

// Page writes reports of one scenario as a self-contained HTML file. Source is the scenario's text. Steps are printed with the
// names of their types and fields.
func Page(w io.Writer, s *scenario.Scenario, plan scenario.Plan, source []byte, reports ...Report) error {
	type run struct {
		Report Report
		Plot   template.HTML
	}
	type step struct{ At, What string }
	data := struct {
		Title, About, Source string
		Runs                 []run
		Steps                []step
	}{Title: s.Title, About: s.About, Source: string(source)}
	for _, r := range reports {
		svg, err := draw(r)
		if err != nil {
			return err
		}
		data.Runs = append(data.Runs, run{r, template.HTML(svg)}) // made here, of numbers and of the scenario's checked names
	}
	for _, st := range plan.Steps {
		data.Steps = append(data.Steps, step{st.At.String(), fmt.Sprintf("%T %+v", st.Action, st.Action)})
	}
	return page.Execute(w, data)
}
