package config

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenareel/schema"
)

func example(c testing.TB, name string) []byte {
	c.Helper()
	text, err := os.ReadFile("../examples/" + name)
	if err != nil {
		c.Fatal(err)
	}
	return text
}

// Guards against examples that the parser does not accept, and against defaults that change.
func TestExamples(t *testing.T) {
	c := qt.New(t)
	for name, services := range map[string]string{
		"kitami.toml": "cutting-room fitting-slot sheets", "qalam.toml": "booking payout rate-schedule",
	} {
		document, err := ParseDocument(example(c, name))
		c.Assert(err, qt.IsNil)
		c.Assert(strings.Join(sortedNames(document.GetServices()), " "), qt.Equals, services)
		c.Assert(document.GetPlaces().GetDomains(), qt.HasLen, 4)
		for _, r := range document.GetRules() {
			c.Assert(r.GetPriority() == schema.Priority_PRIORITY_HIGH, qt.Equals, !r.GetRepeatable())
		}
		for _, s := range document.GetServices() {
			c.Assert(s.GetTicketLife().AsDuration(), qt.Equals, DefaultTicketLife)
			c.Assert(s.GetMaxBody(), qt.Equals, uint32(DefaultMaxBody))
		}
	}
	settings, err := ParseSettings(example(c, "node.toml"))
	c.Assert(err, qt.IsNil)
	c.Assert(settings.GetSeeds(), qt.HasLen, 2)
	c.Assert(settings.GetDrainTimeout().AsDuration(), qt.Equals, DefaultDrainTimeout)
}

// Guards against properties of hosts, splits, limits and cold starts that are lost.
func TestHostsAndSplits(t *testing.T) {
	c := qt.New(t)
	d, err := ParseDocument(example(c, "hosts.toml"))
	c.Assert(err, qt.IsNil)
	c.Check(d.GetLimits().GetMaxHeader(), qt.Equals, uint32(16384))
	c.Check(d.GetServices()["sheets"].GetColdRate(), qt.Equals, 17.0)
	c.Check(d.GetServices()["sheets"].GetFixedLimit(), qt.IsTrue)
	c.Check(d.GetServices()["cutting-room"].GetReportAge().AsDuration(), qt.Equals, DefaultReportAge)
	rules := d.GetRules()
	c.Check(rules[0].GetHost(), qt.Equals, "sheets.example")
	c.Check(rules[0].GetSplit()[1].GetWeight(), qt.Equals, 10.0)
	c.Check(rules[1].GetOnce(), qt.Equals, schema.Once_ONCE_REQUEST)
	c.Check(rules[1].GetMaxAttempts(), qt.Equals, uint32(2))
	c.Check(rules[2].GetOnce(), qt.Equals, schema.Once_ONCE_TICKET)
}

// fault is what a test expects of a Fault; Message is a part of the message.
type fault struct {
	section, key string
	line         int
	message      string
}

// valid is a document whose lines the cases below replace.
const valid = `deployment = "test"
[places.regions.hokkaido]
delay = "500us"
[places.domains.sapporo]
region = "hokkaido"
[services.sheets]
slots = 18
cold_limit = 3
warm_time = "10s"
connections = 260
probes_per_second = 10
[[rules]]
path = "/sheets"
service = "sheets"
repeatable = true
[[rules]]
path = "/"
service = "sheets"
`

func assertFaults(c *qt.C, err error, want ...fault) {
	c.Helper()
	var faults *Faults
	c.Assert(errors.As(err, &faults), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(faults.List(), qt.HasLen, len(want), qt.Commentf("%v", err))
	for i, w := range want {
		got := faults.List()[i]
		c.Check(fault{got.Section, got.Key, got.Line, w.message}, qt.Equals, w, qt.Commentf("%v", err))
		c.Check(got.Message, qt.Contains, w.message)
		c.Check(got.Column >= 1, qt.IsTrue)
	}
}

// Guards against faults of a document that are accepted, hide another, or are reported at the wrong place.
func TestDocumentFaults(t *testing.T) {
	cases := []struct {
		name, old, new string
		want           []fault
	}{
		{"unknown key", "slots = 18", "slot = 18", []fault{
			{"services.sheets", "slots", 6, "is missing"}, {"services.sheets", "slot", 7, `did you mean "slots"?`},
		}},
		{"unknown section", "[services.sheets]", "[service.sheets]\nslots = 1", []fault{
			{"", "services", 1, "is missing"}, {"", "service", 6, `did you mean "services"?`},
			{"rules[1]", "service", 15, "unknown service"}, {"rules[2]", "service", 19, "unknown service"},
		}},
		{"wrong types", "slots = 18\ncold_limit = 3\nwarm_time = \"10s\"", "slots = \"18\"\ncold_limit = 3.0\nwarm_time = 10", []fault{
			{"services.sheets", "slots", 7, "expected an integer"}, {"services.sheets", "cold_limit", 8, "type float"},
			{"services.sheets", "warm_time", 9, "expected a duration"},
		}},
		{"value as section", "[services.sheets]", "[services.sheets.slots]\n[services.sheets]", []fault{
			{"services.sheets", "slots", 6, "is not a section"},
		}},
		{"section as value", `delay = "500us"`, "delay = \"500us\"\n[places.domains]\nruwi = 3", []fault{
			{"places.domains", "ruwi", 5, "expected a section"},
		}},
		{"list as section", "[[rules]]\npath = \"/sheets\"", "[rules]\npath = \"/sheets\"", []fault{
			{"", "rules", 12, "is not a section; expected a list of sections"},
		}},
		{"section as list", "[services.sheets]", "[[services.sheets]]", []fault{
			{"services", "sheets", 6, "is not a list of sections; write [services.sheets]"},
		}},
		{"bad duration", `"500us"`, `"500"`, []fault{{"places.regions.hokkaido", "delay", 3, `"500"; expected a duration`}}},
		{"negative duration", `"10s"`, `"-10s"`, []fault{{"services.sheets", "warm_time", 9, "expected 0s to 1h0m0s"}}},
		{"bad number", "probes_per_second = 10", "probes_per_second = nan", []fault{{"services.sheets", "probes_per_second", 11, "finite"}}},
		{"negative number", "slots = 18", "slots = -18", []fault{{"services.sheets", "slots", 7, "from 0 to 4294967295"}}},
		{"out of range", "connections = 260", "connections = 100000\nretry_ratio = 1.5", []fault{
			{"services.sheets", "connections", 10, "expected 1 to 10000"}, {"services.sheets", "retry_ratio", 11, "expected 0 to 1"},
		}},
		{"cold limit", "cold_limit = 3", "cold_limit = 19", []fault{{"services.sheets", "cold_limit", 8, "over the 18 slots"}}},
		{"outcome life", "slots = 18", "slots = 18\nticket_life = \"10m\"", []fault{{"services.sheets", "outcome_life", 6, "expected"}}},
		{"enum", "repeatable = true", "priority = \"HIGH\"", []fault{{"rules[1]", "priority", 15, "one of low, normal, high"}}},
		{"duplicate key", "slots = 18", "slots = 18\nslots = 19", []fault{{"services.sheets", "slots", 8, "first on line 7"}}},
		{"duplicate section", "[[rules]]\npath = \"/\"", "[services.sheets]\n[[rules]]\npath = \"/\"", []fault{
			{"services.sheets", "", 16, "first on line 6"},
		}},
		{"extended inline table", "[services.sheets]", "[places.instances]\nsheets-1 = {}\n[places.instances.sheets-1]\n[services.sheets]", []fault{
			{"places.instances.sheets-1", "", 8, "first on line 7"},
		}},
		{"rule without effect", `path = "/"`, `path = "/sheets/deposits"`, []fault{{"rules[2]", "path", 17, "rules[1] matches"}}},
		{"unknown service", "path = \"/\"\nservice = \"sheets\"", "path = \"/\"\nservice = \"sheet\"", []fault{
			{"rules[2]", "service", 18, `did you mean "sheets"?`},
		}},
		{"rule", `path = "/sheets"`, "path = \"sheets\"\nmethod = \"get\"", []fault{
			{"rules[1]", "path", 13, "expected '/'"}, {"rules[1]", "method", 14, "capital letters"},
		}},
		{"unknown region", `region = "hokkaido"`, `region = "honshu"`, []fault{{"places.domains.sapporo", "region", 5, "unknown region"}}},
		{"second region", "[places.domains.sapporo]", "[places.regions.honshu]\ndelay = \"1ms\"\nremote_delay = \"5ms\"\n[places.domains.sapporo]", []fault{
			{"places.regions.hokkaido", "remote_delay", 2, "is missing"},
		}},
		{"host", `path = "/sheets"`, "path = \"/sheets\"\nhost = \"Sheets.example:80\"", []fault{{"rules[1]", "host", 14, "without a port"}}},
		{"service and split", "path = \"/\"\nservice = \"sheets\"", "path = \"/\"\nservice = \"sheets\"\nsplit = [{service = \"sheets\", weight = 1}]", []fault{
			{"rules[2]", "split", 19, "beside service"},
		}},
		{"split", "path = \"/\"\nservice = \"sheets\"", "path = \"/\"\nsplit = [{service = \"sheet\", weight = 0}]", []fault{
			{"rules[2]", "split", 18, `did you mean "sheets"?`}, {"rules[2]", "split", 18, "no weight above 0"},
		}},
		{"negative weight", "path = \"/\"\nservice = \"sheets\"", "path = \"/\"\nsplit = [{service = \"sheets\", weight = -1}]", []fault{
			{"rules[2]", "split", 18, "weight -1"}, {"rules[2]", "split", 18, "no weight above 0"},
		}},
		{"once", "repeatable = true", "repeatable = true\nonce = \"request\"", []fault{{"rules[1]", "once", 16, "no effect"}}},
		{"times of a rule", "repeatable = true", "repeatable = true\ntimeout = \"0s\"\ntarget_latency = \"1h\"\nmax_attempts = 101", []fault{
			{"rules[1]", "timeout", 16, "expected"}, {"rules[1]", "target_latency", 17, "expected"}, {"rules[1]", "max_attempts", 18, "0 to 100"},
		}},
		{"limits", "[services.sheets]", "[limits]\nmax_header = 65536\nidle_timeout = \"0s\"\n[services.sheets]", []fault{
			{"limits", "max_header", 7, "0 to 32768"}, {"limits", "idle_timeout", 8, "expected"},
		}},
		{"cold rate", "slots = 18", "slots = 18\ncold_rate = -1\nprobe_path = \"health\"\nreport_age = \"0s\"", []fault{
			{"services.sheets", "cold_rate", 8, "0 to"}, {"services.sheets", "probe_path", 9, "a path"}, {"services.sheets", "report_age", 10, "expected"},
		}},
		{"missing sections", valid, "# empty", []fault{
			{"", "deployment", 1, "is missing"}, {"places", "regions", 1, "is missing"}, {"places", "domains", 1, "is missing"},
			{"", "services", 1, "is missing"}, {"", "rules", 1, "is missing"},
		}},
		{"missing keys", "slots = 18\ncold_limit = 3\nwarm_time = \"10s\"\nconnections = 260\nprobes_per_second = 10\n", "", []fault{
			{"services.sheets", "slots", 6, "is missing"}, {"services.sheets", "cold_limit", 6, "is missing"},
			{"services.sheets", "warm_time", 6, "is missing"}, {"services.sheets", "connections", 6, "is missing"},
			{"services.sheets", "probes_per_second", 6, "is missing"},
		}},
		{"name", "[places.domains.sapporo]", "[places.domains.\"sap poro\"]", []fault{{"places.domains", "sap poro", 4, "is not a name"}}},
		{"syntax", "slots = 18\ncold_limit = 3", "slots = = 18\ncold_limit = 3\nslot = 4\nqueue =", []fault{
			{"services.sheets", "", 7, "syntax error"}, {"services.sheets", "slot", 9, "did you mean"},
			{"services.sheets", "", 10, "syntax error"},
		}},
		{"size", `"test"`, `"` + strings.Repeat("x", MaxDocument) + `"`, []fault{{"", "", 1, "at most 1048576"}}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(strings.Count(valid, tc.old) > 0, qt.IsTrue)
			_, err := ParseDocument([]byte(strings.Replace(valid, tc.old, tc.new, 1)))
			assertFaults(c, err, tc.want...)
		})
	}
	_, err := ParseDocument([]byte(valid))
	qt.Assert(t, err, qt.IsNil)
}

// Guards against settings that a node would start with and fail later.
func TestSettingsFaults(t *testing.T) {
	c := qt.New(t)
	_, err := ParseSettings([]byte(`instance = "sheets 1"
service = "sheets"
http_address = "localhost:7100"
rpc_address = "127.0.0.1:7101"
status_address = "127.0.0.1:7101"
backend_address = "127.0.0.1:0"
platform_url = "127.0.0.1:7000"
seeds = ["127.0.0.1:7201", "127.0.0.1:7201", 5]
log_level = "loud"
drain_timeout = "1000h"
`))
	assertFaults(c, err,
		fault{"", "instance", 1, "expected 1 to 64"}, fault{"", "domain", 1, "is missing"},
		fault{"", "http_address", 3, "expected IP:port"}, fault{"", "status_address", 5, "which rpc_address has too"},
		fault{"", "backend_address", 6, "expected IP:port"}, fault{"", "platform_url", 7, "expected a URL"},
		fault{"", "seeds", 8, "type integer; expected a string"}, fault{"", "seeds", 8, "which seeds has too"}, fault{"", "log_level", 9, "one of debug"},
		fault{"", "drain_timeout", 10, "expected 0s to 10m0s"})
}

// Guards against settings of an adapter that would give each service a nonsensical value.
func TestDefaultsFaults(t *testing.T) {
	c := qt.New(t)
	_, err := ParseSettings([]byte(`instance = "sheets-1"
service = "sheets"
domain = "sapporo"
http_address = "127.0.0.1:1"
rpc_address = "127.0.0.1:2"
status_address = "127.0.0.1:3"
ready_address = "127.0.0.1:3"
backend_address = "127.0.0.1:4"
adapter = "shop"
platform_url = "http://127.0.0.1:7000"
report_interval = "1h"
list_grace = "-1s"
remote_cost = -1
[service_defaults]
retry_ratio = 2
report_age = "0s"
[domains.sapporo]
`))
	assertFaults(c, err,
		fault{"", "ready_address", 7, "which status_address has too"}, fault{"", "adapter", 9, `expected "own" or "store"`},
		fault{"", "report_interval", 11, "expected"}, fault{"", "list_grace", 12, "expected"}, fault{"", "remote_cost", 13, "0 to 100"},
		fault{"service_defaults", "retry_ratio", 15, "0 to 1"}, fault{"service_defaults", "report_age", 16, "expected"},
		fault{"domains.sapporo", "region", 17, "is missing"})
}

// Guards against a large invalid document that costs unbounded memory or time.
func TestFaultsAreBounded(t *testing.T) {
	c := qt.New(t)
	_, err := ParseDocument(bytes.Repeat([]byte("[a]\n"), MaxDocument/4))
	var faults *Faults
	c.Assert(errors.As(err, &faults), qt.IsTrue)
	c.Assert(faults.List(), qt.HasLen, maxFaults)
	c.Assert(faults.Omitted() > 0, qt.IsTrue)
}

// Guards against sections that do not begin with their header, so that a change of one team moves into another's section.
func TestSections(t *testing.T) {
	c := qt.New(t)
	sections := Sections([]byte("a = \"\"\"\n[x]\n\"\"\"\n" + valid + "  [ \"b\" ] # c\r\n[[c]]\nd = [\n[1],\n]\n"))
	c.Assert(sections, qt.HasLen, 1+strings.Count(valid, "\n[")+2)
	for _, section := range sections[1:] {
		c.Assert(bytes.TrimSpace(section)[0], qt.Equals, byte('['))
	}
	c.Assert(string(sections[len(sections)-1]), qt.Equals, "[[c]]\nd = [\n[1],\n]\n")
}

// FuzzParseDocument guards against panics, texts that are not the concatenation of their sections, and faults at places
// outside of the text.
func FuzzParseDocument(f *testing.F) {
	f.Add([]byte(valid))
	f.Add(example(f, "kitami.toml"))
	f.Add(example(f, "qalam.toml"))
	f.Add([]byte("a = \"\"\"\n[x]\n\"\"\"\n[ \"b\" ] # c\r\n[[c]]\nd = [\n[1],\n]"))
	f.Fuzz(func(t *testing.T, text []byte) {
		c := qt.New(t)
		c.Assert(string(bytes.Join(Sections(text), nil)), qt.Equals, string(text))
		document, err := ParseDocument(text)
		if err != nil {
			var faults *Faults
			c.Assert(errors.As(err, &faults), qt.IsTrue)
			for _, f := range faults.List() {
				c.Assert(f.Line >= 1 && f.Line <= bytes.Count(text, []byte("\n"))+1 && f.Column >= 1, qt.IsTrue, qt.Commentf("%v", f))
			}
			return
		}
		c.Assert(present(document), qt.IsTrue)
	})
}

// present reports whether an accepted document is still accepted with its defaults written out.
func present(document *schema.Document) bool {
	faults := &Faults{}
	c := &checker{source: &source{lines: []int{0}, places: map[string]int{}, faults: faults}}
	for name := range document.GetServices() {
		c.places["services."+name+".probes_per_second"] = 0
	}
	checkDocument(c, document)
	return len(faults.list) == 0
}

// BenchmarkParseDocument measures a document of about 1 MB.
func BenchmarkParseDocument(b *testing.B) {
	text := largeDocument()
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		if _, err := ParseDocument(text); err != nil {
			b.Fatal(err)
		}
	}
}

func largeDocument() []byte {
	var text bytes.Buffer
	text.WriteString(valid[:strings.Index(valid, "[[rules]]")])
	for i := 0; text.Len() < MaxDocument-200; i++ {
		fmt.Fprintf(&text, "[[rules]]\npath = \"/sheets/%d/\"\nservice = \"sheets\"\nrepeatable = true\n", i)
	}
	return text.Bytes()
}
