package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Report is the outcome of an experiment.
type Report struct {
	Name     string    `json:"name"`
	Seed     uint64    `json:"seed"`
	Variants []Variant `json:"variants"`
	// Aims are the bounds that the router's policy should meet.
	Aims []Aim `json:"aims"`
}

// Variant is the result of all policies on the same arrivals and faults.
type Variant struct {
	Name    string   `json:"name"`
	Columns []string `json:"columns"`
	Rows    []Row    `json:"rows"`
}

// Row is one policy's figures, in the order of Columns.
type Row struct {
	Policy  string    `json:"policy"`
	Figures []float64 `json:"figures"`
}

// Aim is an upper bound on a figure and whether the figure meets it.
type Aim struct {
	Text   string  `json:"text"`
	Figure float64 `json:"figure"`
	Bound  float64 `json:"bound"`
	Met    bool    `json:"met"`
}

// atMost returns the aim that figure is not above bound.
func atMost(text string, figure, bound float64) Aim {
	return Aim{Text: text, Figure: figure, Bound: bound, Met: figure <= bound}
}

// Print writes the report as text.
func (r *Report) Print(w io.Writer) error {
	for _, variant := range r.Variants {
		fmt.Fprintf(w, "%s, %s (seed %d)\n", r.Name, variant.Name, r.Seed)
		table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
		fmt.Fprint(table, "policy\t")
		for _, column := range variant.Columns {
			fmt.Fprintf(table, "%s\t", column)
		}
		fmt.Fprintln(table)
		for _, row := range variant.Rows {
			fmt.Fprintf(table, "%s\t", row.Policy)
			for _, figure := range row.Figures {
				fmt.Fprintf(table, "%.4g\t", figure)
			}
			fmt.Fprintln(table)
		}
		if err := table.Flush(); err != nil {
			return err
		}
		fmt.Fprintln(w)
	}
	for _, aim := range r.Aims {
		state := "met"
		if !aim.Met {
			state = "MISSED"
		}
		fmt.Fprintf(w, "%s: %s: %.4g, at most %.4g\n", state, aim.Text, aim.Figure, aim.Bound)
	}
	return nil
}
