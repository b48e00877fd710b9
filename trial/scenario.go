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
	// meanServiceTime is the mean service time of the backend servers in milliseconds.
	meanServiceTime = 20
	// settleDuration is the time under load before the measurement, in which the concurrency limits converge.
	settleDuration = 2 * time.Second
	// measuredDuration is the time under load that is measured.
	measuredDuration = 8 * time.Second
)

// Scenario is a load pattern with at most one fault. All its variants are measured in the same run, so that they can be
// compared.
type Scenario struct {
	name string
	// description is one line that says what happens.
	description string
	// load is the share of the service's slots that the calls occupy on average at the mean service time.
	load     float64
	classes  []load.Class
	variants []variant
	// start and end begin and end the fault. They are called after one quarter and three quarters of the measured time.
	start func(*Fleet)
	end   func(*Fleet)
	// configure changes the shape of the fleet before it starts.
	configure func(*Shape)
}

// Name returns the name of the scenario.
func (s *Scenario) Name() string { return s.name }

// Description returns a one-line description of the scenario.
func (s *Scenario) Description() string { return s.description }

// variant is a configuration of the load balancer, or a baseline that it is compared with.
type variant struct {
	name    string
	options func() []node.Option
	// hedgeRatio replaces the hedge ratio of the shape unless it is "".
	hedgeRatio string
	// direct sends calls directly to the backend servers instead of through nodes.
	direct bool
}

// Row holds the measurements of one variant in one scenario.
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

// lookups returns a mix of calls that consists of lookups only.
func lookups() []load.Class {
	return []load.Class{{Name: "sheets", Method: "GET", Path: "/sheets/1", Weight: 1, Repeatable: true}}
}

// lookupsAndDeposits returns a mix of 80% lookups and 20% non-repeatable deposits to the same service.
func lookupsAndDeposits() []load.Class {
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

// chooserVariants returns the product and the baseline algorithms for choosing an instance.
func chooserVariants() []variant {
	return []variant{
		product(),
		withChooser("random", func() core.Chooser { return picker.NewRandom(nil) }),
		withChooser("round robin", func() core.Chooser { return picker.NewRoundRobin(nil) }),
		withChooser("least outstanding", func() core.Chooser { return picker.NewLeastOutstanding(nil) }),
	}
}

// hedgingVariants returns the product without and with hedging.
func hedgingVariants() []variant {
	withoutHedges := product()
	withoutHedges.name = "no hedges"
	withoutHedges.hedgeRatio = "0.0"
	return []variant{withoutHedges, product()}
}

// faultTarget returns the instance into which scenarios inject their faults.
func faultTarget(f *Fleet) *Member { return f.Service("sheets")[0] }

func setOnFaultTarget(change func(*fakes.Control)) func(*Fleet) {
	return func(f *Fleet) { faultTarget(f).Backend().Set(change) }
}

// Scenarios returns all scenarios.
func Scenarios() []*Scenario {
	return []*Scenario{
		{
			name: "overhead", description: "fixed service time of 20 ms at 50% of the slots, direct to the servers and through nodes", load: 0.5,
			classes: lookups(), variants: []variant{{name: "direct", options: product().options, direct: true}, product()},
			configure: func(s *Shape) { s.Fixed = true },
		},
		{name: "steady-50", description: "steady load at 50% of the slots", load: 0.5, classes: lookups(), variants: chooserVariants()},
		{name: "steady-80", description: "steady load at 80% of the slots", load: 0.8, classes: lookups(), variants: chooserVariants()},
		{
			name: "straggler", description: "one of 6 servers becomes 10 times slower, at 50% load", load: 0.5, classes: lookups(),
			variants: chooserVariants(),
			start:    setOnFaultTarget(func(c *fakes.Control) { c.Factor = 10 }),
			end:      setOnFaultTarget(func(c *fakes.Control) { c.Factor = 1 }),
		},
		{
			name: "straggler-hedge", description: "as straggler, with and without hedges", load: 0.5, classes: lookups(),
			variants: hedgingVariants(),
			start:    setOnFaultTarget(func(c *fakes.Control) { c.Factor = 10 }),
			end:      setOnFaultTarget(func(c *fakes.Control) { c.Factor = 1 }),
		},
		{
			name: "fail-fast", description: "one of 6 servers answers 500 at once, at 50% load", load: 0.5, classes: lookups(),
			variants: chooserVariants(),
			start:    setOnFaultTarget(func(c *fakes.Control) { c.FailFast = true }),
			end:      setOnFaultTarget(func(c *fakes.Control) { c.FailFast = false }),
		},
		{
			name: "cold", description: "one of 6 servers becomes cold without notice, at 70% load", load: 0.7, classes: lookupsAndDeposits(),
			variants: chooserVariants(),
			start:    func(f *Fleet) { faultTarget(f).Backend().Cold() },
		},
		{
			name: "domain", description: "one of 4 failure domains is taken out of service and returned, at 70% load", load: 0.7, classes: lookupsAndDeposits(),
			variants:  chooserVariants(),
			start:     func(f *Fleet) { f.SetOutOfService("asahikawa") },
			end:       func(f *Fleet) { f.SetOutOfService() },
			configure: func(s *Shape) { s.Groups[0].Count = 8 },
		},
		{
			name: "platform-down", description: "the platform is down for half of the time, at 50% load", load: 0.5, classes: lookupsAndDeposits(),
			variants: []variant{product()},
			start:    func(f *Fleet) { f.Platform().SetMode(fakes.ModeDown) },
			end:      func(f *Fleet) { f.Platform().SetMode(fakes.ModeUp) },
		},
		{
			name: "stale-reports", description: "the servers' own reports are one second old, at 80% load", load: 0.8, classes: lookups(),
			variants: chooserVariants(),
			start: func(f *Fleet) {
				for _, m := range f.Members() {
					m.Backend().Set(func(c *fakes.Control) { c.Lag = 1000 })
				}
			},
		},
	}
}

// scenarioShape returns a fleet of 6 backend servers of one service in 4 failure domains, which handle both lookups and
// non-repeatable calls.
func scenarioShape() Shape {
	shape := Kitami()
	shape.Groups = []Group{{"sheets", 6}}
	shape.ServiceTime = meanServiceTime
	shape.Warm = true
	shape.WarmTime = time.Second
	shape.Rules = []Rule{
		{"GET", "/sheets/", "sheets", true},
		{"POST", "/sheets/", "sheets", false},
	}
	return shape
}

// Run measures the variants of the scenario one after the other. It returns the rows measured so far if one fails.
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

// measure runs the scenario with one variant. It applies load before the measurement, so that the concurrency limits have
// reached the number of slots.
func (s *Scenario) measure(ctx context.Context, v variant, logger *zap.Logger) (Row, error) {
	shape := scenarioShape()
	shape.HedgeRatio = cmp.Or(v.hedgeRatio, shape.HedgeRatio)
	if s.configure != nil {
		s.configure(&shape)
	}
	fleet, err := Start(ctx, shape, logger, v.options()...)
	if err != nil {
		return Row{}, fmt.Errorf("start the fleet: %w", err)
	}
	plan := load.Plan{
		Targets:  fleet.Targets(),
		Classes:  s.classes,
		Rate:     s.load * float64(shape.Groups[0].Count*shape.Slots) / (meanServiceTime / 1000.0),
		Duration: settleDuration,
		Timeout:  2 * time.Second,
		Resends:  3,
		Direct:   v.direct,
	}
	if v.direct {
		plan.Targets = fleet.BackendTargets()
	}
	if _, err := load.Run(ctx, plan); err != nil {
		return Row{}, fmt.Errorf("generate load before the measurement: %w", err)
	}
	before := fleet.Stats("")
	plan.Duration = measuredDuration
	var group conc.WaitGroup
	group.Go(func() { s.runEvents(fleet) })
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

func (s *Scenario) runEvents(fleet *Fleet) {
	time.Sleep(measuredDuration / 4)
	if s.start != nil {
		s.start(fleet)
	}
	time.Sleep(measuredDuration / 2)
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
		Doubled:    after.Duplicates - before.Duplicates,
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

// WriteRows writes rows as a plain-text table.
func WriteRows(w stdio.Writer, rows []Row) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "scenario\tvariant\tcalls\tanswered %\t500s\tnot run\tunknown\tp50 ms\tp99 ms\tp99.9 ms\toverloads\tcold excess\tprobes\t")
	for _, r := range rows {
		answeredPercent := 100 * float64(r.Answered-r.Failed) / float64(max(r.Calls, 1))
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%.3f\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%d\t%d\t%d\t\n", r.Scenario, r.Variant, r.Calls,
			answeredPercent, r.Failed, r.NotRun, r.Unknown, r.P50, r.P99, r.P999, r.Overloads, r.ColdExcess, r.Probes)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

// WriteJSON writes rows as a JSON array.
func WriteJSON(w stdio.Writer, rows []Row) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(rows); err != nil {
		return fmt.Errorf("write JSON: %w", err)
	}
	return nil
}
