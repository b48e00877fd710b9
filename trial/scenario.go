package trial

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	stdio "io"
	"text/tabwriter"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"verbenareel/core"
	"verbenareel/fakes"
	"verbenareel/load"
	"verbenareel/node"
	"verbenareel/picker"
)

const (
	// trialServiceTime is the mean service time of the stand-ins in milliseconds.
	trialServiceTime = 20
	// settleTime is the time under load before a scenario's figures count.
	settleTime = 2 * time.Second
	// trialDuration is the time under load that counts.
	trialDuration = 8 * time.Second
)

// Scenario is one situation, measured with several variants of the product in the same run.
type Scenario struct {
	name string
	// about says what happens, in one line.
	about string
	// load is the share of all slots of the service that the calls need.
	load     float64
	classes  []load.Class
	variants []variant
	// start and end happen at a quarter and at three quarters of the measured time.
	start func(*Fleet)
	end   func(*Fleet)
	// change alters the fleet before it starts.
	change func(*Shape)
}

// Name returns the name of the scenario.
func (s *Scenario) Name() string { return s.name }

// About returns what happens in the scenario.
func (s *Scenario) About() string { return s.about }

// variant is one version of the product.
type variant struct {
	name    string
	options func() []node.Option
	// hedgeRatio replaces that of the shape, if set.
	hedgeRatio string
	// direct sends to the backend servers without nodes between.
	direct bool
}

// Row holds the figures of one variant in one scenario.
type Row struct {
	Scenario   string  `json:"scenario"`
	Variant    string  `json:"variant"`
	Calls      int     `json:"calls"`
	Answered   int     `json:"answered"`
	Failed     int     `json:"failed_5xx"`
	NotRun     int     `json:"not_run"`
	Unknown    int     `json:"unknown"`
	Doubled    int     `json:"doubled"`
	P50        float64 `json:"p50_ms"`
	P99        float64 `json:"p99_ms"`
	P999       float64 `json:"p999_ms"`
	Overloads  int     `json:"overloads"`
	ColdExcess int     `json:"cold_excess"`
	Probes     int     `json:"probes"`
}

// sheets is a mix of lookups alone.
func sheets() []load.Class {
	return []load.Class{{Name: "sheets", Method: "GET", Path: "/sheets/1", Weight: 1, Repeatable: true}}
}

// mixed has orders beside lookups, all of one service.
func mixed() []load.Class {
	return []load.Class{
		{Name: "sheets", Method: "GET", Path: "/sheets/1", Weight: 8, Repeatable: true},
		{Name: "deposits", Method: "POST", Path: "/sheets/deposits", Weight: 2, BodySize: 256},
	}
}

func product() variant {
	return variant{name: "product", options: func() []node.Option { return nil }}
}

func withChooser(name string, chooser func() core.Chooser) variant {
	return variant{name: name, options: func() []node.Option {
		return []node.Option{node.WithChooser(chooser())}
	}}
}

// choosers are the product and the baselines for the choice of an instance.
func choosers() []variant {
	return []variant{
		product(),
		withChooser("random", func() core.Chooser { return picker.NewRandom(nil) }),
		withChooser("round robin", func() core.Chooser { return picker.NewRoundRobin(nil) }),
		withChooser("least outstanding", func() core.Chooser { return picker.NewLeastOutstanding(nil) }),
	}
}

// hedging are the product with and without hedges.
func hedging() []variant {
	off := product()
	off.name = "no hedges"
	off.hedgeRatio = "0.0"
	return []variant{off, product()}
}

// victim returns the instance that a scenario injects its fault into.
func victim(f *Fleet) *Member { return f.Service("sheets")[0] }

func onVictim(change func(*fakes.Control)) func(*Fleet) {
	return func(f *Fleet) { victim(f).Backend().Set(change) }
}

// Scenarios returns all scenarios.
func Scenarios() []*Scenario {
	return []*Scenario{
		{
			name: "overhead", about: "fixed service time of 20 ms at 50% of the slots, direct and through nodes", load: 0.5,
			classes: sheets(), variants: []variant{{name: "direct", options: product().options, direct: true}, product()},
			change: func(s *Shape) { s.Fixed = true },
		},
		{name: "steady-50", about: "steady load at 50% of the slots", load: 0.5, classes: sheets(), variants: choosers()},
		{name: "steady-80", about: "steady load at 80% of the slots", load: 0.8, classes: sheets(), variants: choosers()},
		{
			name: "straggler", about: "one of 6 servers becomes 10 times slower, at 50% load", load: 0.5, classes: sheets(),
			variants: choosers(),
			start:    onVictim(func(c *fakes.Control) { c.Factor = 10 }),
			end:      onVictim(func(c *fakes.Control) { c.Factor = 1 }),
		},
		{
			name: "straggler-hedge", about: "as straggler, with and without hedges", load: 0.5, classes: sheets(),
			variants: hedging(),
			start:    onVictim(func(c *fakes.Control) { c.Factor = 10 }),
			end:      onVictim(func(c *fakes.Control) { c.Factor = 1 }),
		},
		{
			name: "fail-fast", about: "one of 6 servers answers 500 at once, at 50% load", load: 0.5, classes: sheets(),
			variants: choosers(),
			start:    onVictim(func(c *fakes.Control) { c.FailFast = true }),
			end:      onVictim(func(c *fakes.Control) { c.FailFast = false }),
		},
		{
			name: "cold", about: "one of 6 servers turns cold without notice, at 70% load", load: 0.7, classes: mixed(),
			variants: choosers(),
			start:    func(f *Fleet) { victim(f).Backend().Cold() },
		},
		{
			name: "domain", about: "one of 4 failure domains leaves and returns, at 70% load", load: 0.7, classes: mixed(),
			variants: choosers(),
			start:    func(f *Fleet) { f.TakeOut("asahikawa") },
			end:      func(f *Fleet) { f.TakeOut() },
			change:   func(s *Shape) { s.Groups[0].Count = 8 },
		},
		{
			name: "platform-down", about: "the platform is down for half of the time, at 50% load", load: 0.5, classes: mixed(),
			variants: []variant{product()},
			start:    func(f *Fleet) { f.Platform().SetMode(fakes.ModeDown) },
			end:      func(f *Fleet) { f.Platform().SetMode(fakes.ModeUp) },
		},
		{
			name: "stale-reports", about: "the servers' own reports are one second old, at 80% load", load: 0.8, classes: sheets(),
			variants: choosers(),
			start: func(f *Fleet) {
				for _, m := range f.Members() {
					m.Backend().Set(func(c *fakes.Control) { c.Lag = 1000 })
				}
			},
		},
	}
}

// trialShape is 6 servers of one service in 4 failure domains, with orders on the same service.
func trialShape() Shape {
	shape := Kitami()
	shape.Groups = []Group{{"sheets", 6}}
	shape.ServiceTime = trialServiceTime
	shape.Warm = true
	shape.WarmTime = time.Second
	shape.Rules = []Rule{
		{"GET", "/sheets/", "sheets", true},
		{"POST", "/sheets/", "sheets", false},
	}
	return shape
}

// Run measures each variant of the scenario.
func (s *Scenario) Run(ctx context.Context, logger *zap.Logger) ([]Row, error) {
	var rows []Row
	for _, v := range s.variants {
		row, err := s.measure(ctx, v, logger)
		if err != nil {
			return rows, fmt.Errorf("scenario %s, %s: %w", s.name, v.name, err)
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// measure runs one variant: it settles first, so that the limits are at the slots.
func (s *Scenario) measure(ctx context.Context, v variant, logger *zap.Logger) (Row, error) {
	shape := trialShape()
	shape.HedgeRatio = cmp.Or(v.hedgeRatio, shape.HedgeRatio)
	if s.change != nil {
		s.change(&shape)
	}
	fleet, err := Start(ctx, shape, logger, v.options()...)
	if err != nil {
		return Row{}, fmt.Errorf("start the fleet: %w", err)
	}
	plan := load.Plan{
		Targets:  fleet.Targets(),
		Classes:  s.classes,
		Rate:     s.load * float64(shape.Groups[0].Count*shape.Slots) / (trialServiceTime / 1000.0),
		Duration: settleTime,
		Timeout:  2 * time.Second,
		Resends:  3,
		Direct:   v.direct,
	}
	if v.direct {
		plan.Targets = fleet.BackendTargets()
	}
	if _, err := load.Run(ctx, plan); err != nil {
		return Row{}, fmt.Errorf("settle: %w", err)
	}
	before := fleet.Stats("")
	plan.Duration = trialDuration
	var group conc.WaitGroup
	group.Go(func() { s.events(fleet) })
	summary, err := load.Run(ctx, plan)
	group.Wait()
	if err != nil {
		return Row{}, fmt.Errorf("generate load: %w", err)
	}
	row := newRow(s.name, v.name, summary, before, fleet.Stats(""))
	if err := fleet.Stop(); err != nil {
		return row, fmt.Errorf("stop the fleet: %w", err)
	}
	return row, nil
}

func (s *Scenario) events(fleet *Fleet) {
	time.Sleep(trialDuration / 4)
	if s.start != nil {
		s.start(fleet)
	}
	time.Sleep(trialDuration / 2)
	if s.end != nil {
		s.end(fleet)
	}
}

func newRow(scenario, variant string, summary *load.Summary, before, after fakes.Stats) Row {
	row := Row{
		Scenario:   scenario,
		Variant:    variant,
		Calls:      summary.Total(),
		Answered:   summary.Count(load.OutcomeAnswered),
		NotRun:     summary.Count(load.OutcomeNotRun),
		Unknown:    summary.Count(load.OutcomeUnknown) + summary.Count(load.OutcomeError),
		Doubled:    after.Doubled - before.Doubled,
		P50:        float64(summary.Quantile(0.5).Microseconds()) / 1000,
		P99:        float64(summary.Quantile(0.99).Microseconds()) / 1000,
		P999:       float64(summary.Quantile(0.999).Microseconds()) / 1000,
		Overloads:  after.Overloads - before.Overloads,
		ColdExcess: after.ColdExcess,
		Probes:     after.Probes - before.Probes,
	}
	for _, c := range summary.Classes() {
		for reason, n := range c.Reasons() {
			if reason == load.OutcomeAnswered+"/500" {
				row.Failed += n
			}
		}
	}
	return row
}

// WriteRows writes rows as a plain table.
func WriteRows(w stdio.Writer, rows []Row) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "scenario\tvariant\tcalls\tanswered %\t500s\tnot run\tunknown\tp50 ms\tp99 ms\tp99.9 ms\toverloads\tcold excess\tprobes\t")
	for _, r := range rows {
		good := 100 * float64(r.Answered-r.Failed) / float64(max(r.Calls, 1))
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%.3f\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%d\t%d\t%d\t\n", r.Scenario, r.Variant, r.Calls,
			good, r.Failed, r.NotRun, r.Unknown, r.P50, r.P99, r.P999, r.Overloads, r.ColdExcess, r.Probes)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

// WriteJSON writes rows as JSON.
func WriteJSON(w stdio.Writer, rows []Row) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(rows); err != nil {
		return fmt.Errorf("write JSON: %w", err)
	}
	return nil
}
