package model

import (
	"fmt"
	"testing"
	"time"

	"verbenareel/core"
	"verbenareel/picker"
)

var choosers = []struct {
	name  string
	build func(picker.Source) core.Chooser
}{
	{"expected", func(s picker.Source) core.Chooser { return picker.NewExpected(s) }},
	{"random", func(s picker.Source) core.Chooser { return picker.NewRandom(s) }},
	{"round robin", func(s picker.Source) core.Chooser { return picker.NewRoundRobin(s) }},
	{"least outstanding", func(s picker.Source) core.Chooser { return picker.NewLeastOutstanding(s) }},
}

// BenchmarkChoosers prints the comparison of the choosers: go test -bench Choosers -benchtime 1x ./picker/model
func BenchmarkChoosers(b *testing.B) {
	for b.Loop() {
		for _, load := range []float64{0.5, 0.8} {
			for _, s := range Scenarios(load, 8*time.Second) {
				for _, c := range choosers {
					fmt.Printf("%2.0f%% %-28s %-18s %v\n", 100*s.Load, s.Name, c.name, Simulate(s, 1, c.build))
				}
			}
		}
	}
}
