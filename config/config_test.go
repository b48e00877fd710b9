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

func readExample(c testing.TB, name string) []byte {
	c.Helper()
	text, err := os.ReadFile("../examples/" + name)
	if err != nil {
		c.Fatal(err)
	}
	return text
}

// TestExamples guards against a change to the parser that rejects the documents in examples/, and against unintended changes
// of default values.
func TestExamples(t *testing.T) {
	c := qt.New(t)
	for name, services := range map[string]string{
		"kitami.toml": "cutting-room fitting-slot sheets", "qalam.toml": "booking payout rate-schedule",
	} {
		document, err := ParseDocument(readExample(c, name))
		c.Assert(err, qt.IsNil)
		c.Assert(strings.Join(sortedKeys(document.GetServices()), " "), qt.Equals, services)
		c.Assert(document.GetPlaces().GetDomains(), qt.HasLen, 4)
		for _, r := range document.GetRules() {
			c.Assert(r.GetPriority() == schema.Priority_PRIORITY_HIGH, qt.Equals, !r.GetRepeatable())
		}
		for _, s := range document.GetServices() {
			c.Assert(s.GetTicketLife().AsDuration(), qt.Equals, DefaultTicketLife)
			c.Assert(s.GetMaxBody(), qt.Equals, uint32(DefaultMaxBody))
		}
	}
	settings, err := ParseSettings(readExample(c, "node.toml"))
	c.Assert(err, qt.IsNil)
	c.Assert(settings.GetSeeds(), qt.HasLen, 2)
	c.Assert(settings.GetDrainTimeout().AsDuration(), qt.Equals, DefaultDrainTimeout)
}

// TestHostsAndSplits guards against rule hosts, traffic splits, limits and cold-start settings that the parser drops.
func TestHostsAndSplits(t *testing.T) {
	c := qt.New(t)
	d, err := ParseDocument(readExample(c, "hosts.toml"))
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

// wantFault is an expected ValidationError; its message must be a substring of the actual message.
type wantFault struct {
	section, key string
	line         int
	message      string
}

// validDocument is a valid document, in which each test case replaces some lines.
const validDocument = `deployment = "test"
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

func assertFaults(c *qt.C, err error, want ...wantFault) {
	c.Helper()
	var faults *ValidationErrors
	c.Assert(errors.As(err, &faults), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(faults.List(), qt.HasLen, len(want), qt.Commentf("%v", err))
	for i, w := range want {
		got := faults.List()[i]
		c.Check(wantFault{got.Section, got.Key, got.Line, w.message}, qt.Equals, w, qt.Commentf("%v", err))
		c.Check(got.Message, qt.Contains, w.message)
		c.Check(got.Column >= 1, qt.IsTrue)
	}
}

// TestDocumentFaults guards against errors in a document that are not reported, hide other errors, or are reported at the
// wrong position.
func TestDocumentFaults(t *testing.T) {
	cases := []struct {
		name, old, new string
		want           []wantFault
	}{
		{"unknown key", "slots = 18", "slot = 18", []wantFault{
			{"services.sheets", "slots", 6, "is missing"}, {"services.sheets", "slot", 7, `did you mean "slots"?`},
		}},
		{"unknown section", "[services.sheets]", "[service.sheets]\nslots = 1", []wantFault{
			{"", "services", 1, "is missing"}, {"", "service", 6, `did you mean "services"?`},
			{"rules[1]", "service", 15, "unknown service"}, {"rules[2]", "service", 19, "unknown service"},
		}},
		{"wrong types", "slots = 18\ncold_limit = 3\nwarm_time = \"10s\"", "slots = \"18\"\ncold_limit = 3.0\nwarm_time = 10", []wantFault{
			{"services.sheets", "slots", 7, "expected an integer"}, {"services.sheets", "cold_limit", 8, "type float"},
			{"services.sheets", "warm_time", 9, "expected a duration"},
		}},
		{"value as section", "[services.sheets]", "[services.sheets.slots]\n[services.sheets]", []wantFault{
			{"services.sheets", "slots", 6, "is not a section"},
		}},
		{"section as value", `delay = "500us"`, "delay = \"500us\"\n[places.domains]\nruwi = 3", []wantFault{
			{"places.domains", "ruwi", 5, "expected a section"},
		}},
		{"list as section", "[[rules]]\npath = \"/sheets\"", "[rules]\npath = \"/sheets\"", []wantFault{
			{"", "rules", 12, "is not a section; expected a list of sections"},
		}},
		{"section as list", "[services.sheets]", "[[services.sheets]]", []wantFault{
			{"services", "sheets", 6, "is not a list of sections; write [services.sheets]"},
		}},
		{"bad duration", `"500us"`, `"500"`, []wantFault{{"places.regions.hokkaido", "delay", 3, `"500"; expected a duration`}}},
		{"negative duration", `"10s"`, `"-10s"`, []wantFault{{"services.sheets", "warm_time", 9, "expected 0s to 1h0m0s"}}},
		{"bad number", "probes_per_second = 10", "probes_per_second = nan", []wantFault{{"services.sheets", "probes_per_second", 11, "finite"}}},
		{"negative number", "slots = 18", "slots = -18", []wantFault{{"services.sheets", "slots", 7, "from 0 to 4294967295"}}},
		{"out of range", "connections = 260", "connections = 100000\nretry_ratio = 1.5", []wantFault{
			{"services.sheets", "connections", 10, "expected 1 to 10000"}, {"services.sheets", "retry_ratio", 11, "expected 0 to 1"},
		}},
		{"cold limit", "cold_limit = 3", "cold_limit = 19", []wantFault{{"services.sheets", "cold_limit", 8, "expected at most the number of slots, 18"}}},
		{"outcome life", "slots = 18", "slots = 18\nticket_life = \"10m\"", []wantFault{{"services.sheets", "outcome_life", 6, "expected"}}},
		{"enum", "repeatable = true", "priority = \"HIGH\"", []wantFault{{"rules[1]", "priority", 15, "one of low, normal, high"}}},
		{"duplicate key", "slots = 18", "slots = 18\nslots = 19", []wantFault{{"services.sheets", "slots", 8, "already defined on line 7"}}},
		{"duplicate section", "[[rules]]\npath = \"/\"", "[services.sheets]\n[[rules]]\npath = \"/\"", []wantFault{
			{"services.sheets", "", 16, "already defined on line 6"},
		}},
		{"extended inline table", "[services.sheets]", "[places.instances]\nsheets-1 = {}\n[places.instances.sheets-1]\n[services.sheets]", []wantFault{
			{"places.instances.sheets-1", "", 8, "already defined on line 7"},
		}},
		{"rule without effect", `path = "/"`, `path = "/sheets/deposits"`, []wantFault{{"rules[2]", "path", 17, "rules[1] matches"}}},
		{"unknown service", "path = \"/\"\nservice = \"sheets\"", "path = \"/\"\nservice = \"sheet\"", []wantFault{
			{"rules[2]", "service", 18, `did you mean "sheets"?`},
		}},
		{"rule", `path = "/sheets"`, "path = \"sheets\"\nmethod = \"get\"", []wantFault{
			{"rules[1]", "path", 13, "expected a path that starts with '/'"}, {"rules[1]", "method", 14, "upper-case letters"},
		}},
		{"unknown region", `region = "hokkaido"`, `region = "honshu"`, []wantFault{{"places.domains.sapporo", "region", 5, "unknown region"}}},
		{"second region", "[places.domains.sapporo]", "[places.regions.honshu]\ndelay = \"1ms\"\nremote_delay = \"5ms\"\n[places.domains.sapporo]", []wantFault{
			{"places.regions.hokkaido", "remote_delay", 2, "is missing"},
		}},
		{"host", `path = "/sheets"`, "path = \"/sheets\"\nhost = \"Sheets.example:80\"", []wantFault{{"rules[1]", "host", 14, "without a port"}}},
		{"service and split", "path = \"/\"\nservice = \"sheets\"", "path = \"/\"\nservice = \"sheets\"\nsplit = [{service = \"sheets\", weight = 1}]", []wantFault{
			{"rules[2]", "split", 19, "set together with service"},
		}},
		{"split", "path = \"/\"\nservice = \"sheets\"", "path = \"/\"\nsplit = [{service = \"sheet\", weight = 0}]", []wantFault{
			{"rules[2]", "split", 18, `did you mean "sheets"?`}, {"rules[2]", "split", 18, "no weight above 0"},
		}},
		{"negative weight", "path = \"/\"\nservice = \"sheets\"", "path = \"/\"\nsplit = [{service = \"sheets\", weight = -1}]", []wantFault{
			{"rules[2]", "split", 18, "weight -1"}, {"rules[2]", "split", 18, "no weight above 0"},
		}},
		{"once", "repeatable = true", "repeatable = true\nonce = \"request\"", []wantFault{{"rules[1]", "once", 16, "no effect"}}},
		{"times of a rule", "repeatable = true", "repeatable = true\ntimeout = \"0s\"\ntarget_latency = \"1h\"\nmax_attempts = 101", []wantFault{
			{"rules[1]", "timeout", 16, "expected"}, {"rules[1]", "target_latency", 17, "expected"}, {"rules[1]", "max_attempts", 18, "0 to 100"},
		}},
		{"limits", "[services.sheets]", "[limits]\nmax_header = 65536\nidle_timeout = \"0s\"\n[services.sheets]", []wantFault{
			{"limits", "max_header", 7, "0 to 32768"}, {"limits", "idle_timeout", 8, "expected"},
		}},
		{"cold rate", "slots = 18", "slots = 18\ncold_rate = -1\nprobe_path = \"health\"\nreport_age = \"0s\"", []wantFault{
			{"services.sheets", "cold_rate", 8, "0 to"}, {"services.sheets", "probe_path", 9, "a path"}, {"services.sheets", "report_age", 10, "expected"},
		}},
		{"missing sections", validDocument, "# empty", []wantFault{
			{"", "deployment", 1, "is missing"}, {"places", "regions", 1, "is missing"}, {"places", "domains", 1, "is missing"},
			{"", "services", 1, "is missing"}, {"", "rules", 1, "is missing"},
		}},
		{"missing keys", "slots = 18\ncold_limit = 3\nwarm_time = \"10s\"\nconnections = 260\nprobes_per_second = 10\n", "", []wantFault{
			{"services.sheets", "slots", 6, "is missing"}, {"services.sheets", "cold_limit", 6, "is missing"},
			{"services.sheets", "warm_time", 6, "is missing"}, {"services.sheets", "connections", 6, "is missing"},
			{"services.sheets", "probes_per_second", 6, "is missing"},
		}},
		{"name", "[places.domains.sapporo]", "[places.domains.\"sap poro\"]", []wantFault{{"places.domains", "sap poro", 4, "is not a valid name"}}},
		{"syntax", "slots = 18\ncold_limit = 3", "slots = = 18\ncold_limit = 3\nslot = 4\nqueue =", []wantFault{
			{"services.sheets", "", 7, "syntax error"}, {"services.sheets", "slot", 9, "did you mean"},
			{"services.sheets", "", 10, "syntax error"},
		}},
		{"size", `"test"`, `"` + strings.Repeat("x", MaxDocument) + `"`, []wantFault{{"", "", 1, "at most 1048576"}}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(strings.Count(validDocument, tc.old) > 0, qt.IsTrue)
			_, err := ParseDocument([]byte(strings.Replace(validDocument, tc.old, tc.new, 1)))
			assertFaults(c, err, tc.want...)
		})
	}
	_, err := ParseDocument([]byte(validDocument))
	qt.Assert(t, err, qt.IsNil)
}

// TestSettingsFaults guards against invalid settings that are accepted at startup and make the node fail later.
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
		wantFault{"", "instance", 1, "expected 1 to 64"}, wantFault{"", "domain", 1, "is missing"},
		wantFault{"", "http_address", 3, "expected IP:port"}, wantFault{"", "status_address", 5, "already used by rpc_address"},
		wantFault{"", "backend_address", 6, "expected IP:port"}, wantFault{"", "platform_url", 7, "expected a URL"},
		wantFault{"", "seeds", 8, "type integer; expected a string"}, wantFault{"", "seeds", 8, "already used by seeds"}, wantFault{"", "log_level", 9, "one of debug"},
		wantFault{"", "drain_timeout", 10, "expected 0s to 10m0s"})
}

// TestDefaultsFaults guards against invalid adapter settings, such as service defaults that would apply to every service.
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
		wantFault{"", "ready_address", 7, "already used by status_address"}, wantFault{"", "adapter", 9, `expected "own" or "store"`},
		wantFault{"", "report_interval", 11, "expected"}, wantFault{"", "list_grace", 12, "expected"}, wantFault{"", "remote_cost", 13, "0 to 100"},
		wantFault{"service_defaults", "retry_ratio", 15, "0 to 1"}, wantFault{"service_defaults", "report_age", 16, "expected"},
		wantFault{"domains.sapporo", "region", 17, "is missing"})
}

// TestLeaveDomain guards against a setting that is ignored because of a typing error or of the adapter.
func TestLeaveDomain(t *testing.T) {
	c := qt.New(t)
	settings := "instance = \"sheets-1\"\nservice = \"sheets\"\ndomain = \"sapporo\"\nhttp_address = \"127.0.0.1:1\"\n" +
		"rpc_address = \"127.0.0.1:2\"\nstatus_address = \"127.0.0.1:3\"\nbackend_address = \"127.0.0.1:4\"\n" +
		"platform_url = \"http://127.0.0.1:7000\"\nadapter = %q\nleave_domain = %q\n"
	for _, value := range []string{LeaveConstant, LeaveByNeed} {
		_, err := ParseSettings(fmt.Appendf(nil, settings, AdapterStore, value))
		c.Assert(err, qt.IsNil)
	}
	_, err := ParseSettings(fmt.Appendf(nil, settings, AdapterStore, "need"))
	assertFaults(c, err, wantFault{"", "leave_domain", 10, `expected "constant" or "by_need"`})
	_, err = ParseSettings(fmt.Appendf(nil, settings, AdapterNative, LeaveByNeed))
	assertFaults(c, err, wantFault{"", "leave_domain", 10, `needs adapter = "store"`})
}

// TestFaultsAreBounded guards against unbounded memory or time for a large invalid document.
func TestFaultsAreBounded(t *testing.T) {
	c := qt.New(t)
	_, err := ParseDocument(bytes.Repeat([]byte("[a]\n"), MaxDocument/4))
	var faults *ValidationErrors
	c.Assert(errors.As(err, &faults), qt.IsTrue)
	c.Assert(faults.List(), qt.HasLen, maxFaults)
	c.Assert(faults.Omitted() > 0, qt.IsTrue)
}

// TestSections guards against sections that do not begin with their own header. A change to one section would then also
// change its neighbor, which may belong to another team.
func TestSections(t *testing.T) {
	c := qt.New(t)
	sections := Sections([]byte("a = \"\"\"\n[x]\n\"\"\"\n" + validDocument + "  [ \"b\" ] # c\r\n[[c]]\nd = [\n[1],\n]\n"))
	c.Assert(sections, qt.HasLen, 1+strings.Count(validDocument, "\n[")+2)
	for _, section := range sections[1:] {
		c.Assert(bytes.TrimSpace(section)[0], qt.Equals, byte('['))
	}
	c.Assert(string(sections[len(sections)-1]), qt.Equals, "[[c]]\nd = [\n[1],\n]\n")
}

// FuzzParseDocument guards against panics, sections whose concatenation differs from the text, and errors at positions
// outside the text.
func FuzzParseDocument(f *testing.F) {
	f.Add([]byte(validDocument))
	f.Add(readExample(f, "kitami.toml"))
	f.Add(readExample(f, "qalam.toml"))
	f.Add(readExample(f, "customers.toml"))
	f.Add([]byte("a = \"\"\"\n[x]\n\"\"\"\n[ \"b\" ] # c\r\n[[c]]\nd = [\n[1],\n]"))
	f.Fuzz(func(t *testing.T, text []byte) {
		c := qt.New(t)
		c.Assert(string(bytes.Join(Sections(text), nil)), qt.Equals, string(text))
		document, err := ParseDocument(text)
		if err != nil {
			var faults *ValidationErrors
			c.Assert(errors.As(err, &faults), qt.IsTrue)
			for _, f := range faults.List() {
				c.Assert(f.Line >= 1 && f.Line <= bytes.Count(text, []byte("\n"))+1 && f.Column >= 1, qt.IsTrue, qt.Commentf("%v", f))
			}
			return
		}
		c.Assert(acceptedWithDefaults(document), qt.IsTrue)
	})
}

// acceptedWithDefaults reports whether a parsed document is still valid with its default values filled in.
func acceptedWithDefaults(document *schema.Document) bool {
	faults := &ValidationErrors{}
	c := &checker{source: &source{lineStarts: []int{0}, offsets: map[string]int{}, faults: faults}}
	for name := range document.GetServices() {
		c.offsets["services."+name+".probes_per_second"] = 0
	}
	checkDocument(c, document)
	return len(faults.list) == 0
}

// BenchmarkParseDocument measures parsing a document of about 1 MB.
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
	text.WriteString(validDocument[:strings.Index(validDocument, "[[rules]]")])
	for i := 0; text.Len() < MaxDocument-200; i++ {
		fmt.Fprintf(&text, "[[rules]]\npath = \"/sheets/%d/\"\nservice = \"sheets\"\nrepeatable = true\n", i)
	}
	return text.Bytes()
}
