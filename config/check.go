package config

import (
	"fmt"
	"net/netip"
	"net/url"
	"sort"
	"strings"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"verbenareel/schema"
)

// Defaults of keys that a text leaves out. The default of queue is the number of slots.
const (
	DefaultTimeout      = time.Second
	DefaultMaxBody      = 1 << 20
	DefaultTicketLife   = 60 * time.Second
	DefaultOutcomeLife  = 5 * time.Minute
	DefaultReportAge    = time.Second
	DefaultRetryRatio   = 0.1
	DefaultRetryFloor   = 1.0
	DefaultDrainTimeout = 30 * time.Second
	DefaultLogLevel     = "info"
)

// Names of the platforms that a node can read.
const (
	// AdapterOwn is the protocol of this project.
	AdapterOwn = "own"
	// AdapterStore is a metadata store that is read by key and watched.
	AdapterStore = "store"
)

// Ranges of values. They exclude slips of the pen, such as a wrong unit, rather than unusual deployments.
const (
	maxSlots       = 10_000
	maxQueue       = 100_000
	maxConnections = 10_000
	maxBody        = 64 << 20
	maxRate        = 10_000
	maxColdFactor  = 100
	maxDelay       = 10 * time.Second
	maxWarmTime    = time.Hour
	maxTimeout     = 10 * time.Minute
	maxLife        = 24 * time.Hour
	maxPath        = 1024
	maxHost        = 255
	maxHeader      = 32 << 10
	maxAttempts    = 100
	maxWeight      = 1_000_000
	maxInterval    = time.Minute
	maxRemoteCost  = 100
)

// defaultDocument fills in the keys that the text leaves out; present tells whether the text has a key.
func defaultDocument(document *schema.Document, present func(section, key string) bool) {
	for name, s := range document.GetServices() {
		defaultService(s, func(key string) bool { return present("services."+name, key) })
	}
	for _, r := range document.GetRules() {
		if r.GetOnce() == schema.Once_ONCE_UNSPECIFIED && !r.GetRepeatable() {
			r.SetOnce(schema.Once_ONCE_TICKET)
		}
		if r.GetPriority() != schema.Priority_PRIORITY_UNSPECIFIED {
			continue
		}
		r.SetPriority(schema.Priority_PRIORITY_HIGH)
		if r.GetRepeatable() {
			r.SetPriority(schema.Priority_PRIORITY_NORMAL)
		}
	}
}

func defaultService(s *schema.Service, present func(key string) bool) {
	if !present("queue") {
		s.SetQueue(s.GetSlots())
	}
	if !present("timeout") {
		s.SetTimeout(durationpb.New(DefaultTimeout))
	}
	if !present("max_body") {
		s.SetMaxBody(DefaultMaxBody)
	}
	if !present("report_age") {
		s.SetReportAge(durationpb.New(DefaultReportAge))
	}
	if !present("retry_ratio") {
		s.SetRetryRatio(DefaultRetryRatio)
	}
	if !present("retry_floor") {
		s.SetRetryFloor(DefaultRetryFloor)
	}
	if !present("ticket_life") {
		s.SetTicketLife(durationpb.New(DefaultTicketLife))
	}
	if !present("outcome_life") {
		s.SetOutcomeLife(durationpb.New(DefaultOutcomeLife))
	}
}

func defaultSettings(settings *schema.Settings) {
	if settings.GetLogLevel() == "" {
		settings.SetLogLevel(DefaultLogLevel)
	}
	if !settings.HasDrainTimeout() {
		settings.SetDrainTimeout(durationpb.New(DefaultDrainTimeout))
	}
	if settings.GetAdapter() == "" {
		settings.SetAdapter(AdapterOwn)
	}
}

// checker reports the faults of values.
type checker struct {
	*source
	// partial reports that keys may be missing because of a syntax error.
	partial bool
	// rejected holds the keys that have a fault already.
	rejected map[string]bool
}

func (c *checker) present(section, key string) bool {
	_, ok := c.places[join(section, key)]
	return ok
}

// report adds a fault at a key, or at its section if the text does not have the key.
func (c *checker) report(section, key, format string, args ...any) {
	if c.rejected[section] || c.rejected[join(section, key)] {
		return
	}
	offset, ok := c.places[join(section, key)]
	if !ok {
		offset = c.places[section]
	}
	c.fault(offset, section, key, format, args...)
}

// missing reports a required key or section; format says what it holds.
func (c *checker) missing(section, key, what string) {
	if !c.partial {
		c.report(section, key, "is missing: %s", what)
	}
}

// number checks a required number.
func (c *checker) number(section, key string, value, low, high float64) {
	switch {
	case value >= low && value <= high:
	case c.present(section, key):
		c.report(section, key, "is %v; expected %v to %v", value, low, high)
	default:
		c.missing(section, key, fmt.Sprintf("expected a number from %v to %v", low, high))
	}
}

// duration checks a required duration.
func (c *checker) duration(section, key string, value *durationpb.Duration, low, high time.Duration) {
	d := value.AsDuration()
	switch {
	case value != nil && d >= low && d <= high:
	case c.present(section, key):
		c.report(section, key, "is %v; expected %v to %v", d, low, high)
	default:
		c.missing(section, key, fmt.Sprintf("expected a duration from %v to %v", low, high))
	}
}

func sortedNames[T any](m map[string]T) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func checkDocument(c *checker, document *schema.Document) {
	if document.GetDeployment() == "" {
		c.missing("", "deployment", "expected the name of the deployment")
	}
	checkPlaces(c, document.GetPlaces())
	if len(document.GetServices()) == 0 {
		c.missing("", "services", "expected a section [services.NAME]")
	}
	for _, name := range sortedNames(document.GetServices()) {
		checkService(c, "services."+name, document.GetServices()[name])
	}
	if len(document.GetRules()) == 0 {
		c.missing("", "rules", "expected a section [[rules]]")
	}
	checkRules(c, document)
	checkLimits(c, document.GetLimits())
}

func checkLimits(c *checker, l *schema.Limits) {
	c.number("limits", "max_header", float64(l.GetMaxHeader()), 0, maxHeader)
	c.number("limits", "max_body", float64(l.GetMaxBody()), 0, maxBody)
	if l.HasHeaderTimeout() {
		c.duration("limits", "header_timeout", l.GetHeaderTimeout(), time.Millisecond, maxTimeout)
	}
	if l.HasIdleTimeout() {
		c.duration("limits", "idle_timeout", l.GetIdleTimeout(), time.Millisecond, maxTimeout)
	}
}

func checkPlaces(c *checker, places *schema.Places) {
	regions, domains := places.GetRegions(), places.GetDomains()
	if len(regions) == 0 {
		c.missing("places", "regions", "expected a section [places.regions.NAME]")
	}
	for _, name := range sortedNames(regions) {
		section := "places.regions." + name
		c.duration(section, "delay", regions[name].GetDelay(), 0, maxDelay)
		if len(regions) > 1 || regions[name].HasRemoteDelay() {
			c.duration(section, "remote_delay", regions[name].GetRemoteDelay(), 0, maxDelay)
		}
	}
	if len(domains) == 0 {
		c.missing("places", "domains", "expected a section [places.domains.NAME]")
	}
	for _, name := range sortedNames(domains) {
		section, region := "places.domains."+name, domains[name].GetRegion()
		if region == "" {
			c.missing(section, "region", "expected the name of a region")
		} else if regions[region] == nil {
			c.report(section, "region", "names the unknown region %q%s", region, suggest(region, sortedNames(regions)))
		}
	}
}

func suggest(name string, names []string) string {
	if len(names) == 0 {
		return ""
	}
	return fmt.Sprintf("; did you mean %q?", nearest(name, names))
}

func checkService(c *checker, section string, s *schema.Service) {
	c.number(section, "slots", float64(s.GetSlots()), 1, maxSlots)
	c.number(section, "cold_limit", float64(s.GetColdLimit()), 1, maxSlots)
	if s.GetColdLimit() > s.GetSlots() && s.GetSlots() > 0 {
		c.report(section, "cold_limit", "is %d, over the %d slots", s.GetColdLimit(), s.GetSlots())
	}
	c.duration(section, "warm_time", s.GetWarmTime(), 0, maxWarmTime)
	c.number(section, "queue", float64(s.GetQueue()), 0, maxQueue)
	c.duration(section, "timeout", s.GetTimeout(), time.Millisecond, maxTimeout)
	c.number(section, "connections", float64(s.GetConnections()), 1, maxConnections)
	c.number(section, "max_body", float64(s.GetMaxBody()), 0, maxBody)
	c.rate(section, "probes_per_second", s.GetProbesPerSecond(), maxRate)
	c.duration(section, "report_age", s.GetReportAge(), time.Millisecond, maxInterval)
	c.number(section, "probe_burst", float64(s.GetProbeBurst()), 0, maxRate)
	c.number(section, "cold_burst", s.GetColdBurst(), 0, maxRate)
	c.number(section, "cold_factor", s.GetColdFactor(), 0, maxColdFactor)
	c.number(section, "free_resends", float64(s.GetFreeResends()), 0, maxAttempts)
	c.number(section, "cold_rate", s.GetColdRate(), 0, maxRate)
	if path := s.GetProbePath(); path != "" && path[0] != '/' {
		c.report(section, "probe_path", "is %s; expected a path such as \"/health\"", quote([]byte(path)))
	}
	c.number(section, "retry_ratio", s.GetRetryRatio(), 0, 1)
	c.number(section, "retry_floor", s.GetRetryFloor(), 0, maxRate)
	c.number(section, "hedge_ratio", s.GetHedgeRatio(), 0, 1)
	c.duration(section, "ticket_life", s.GetTicketLife(), time.Second, maxLife)
	c.duration(section, "outcome_life", s.GetOutcomeLife(), s.GetTicketLife().AsDuration(), maxLife)
}

// checkDefaults checks the values that stand in for those of a service. A value that is left out is 0.
func checkDefaults(c *checker, section string, s *schema.Service) {
	c.number(section, "queue", float64(s.GetQueue()), 0, maxQueue)
	c.number(section, "probes_per_second", s.GetProbesPerSecond(), 0, maxRate)
	c.number(section, "probe_burst", float64(s.GetProbeBurst()), 0, maxRate)
	c.number(section, "cold_burst", s.GetColdBurst(), 0, maxRate)
	c.number(section, "cold_factor", s.GetColdFactor(), 0, maxColdFactor)
	c.number(section, "retry_ratio", s.GetRetryRatio(), 0, 1)
	c.number(section, "retry_floor", s.GetRetryFloor(), 0, maxRate)
	c.number(section, "hedge_ratio", s.GetHedgeRatio(), 0, 1)
	c.number(section, "free_resends", float64(s.GetFreeResends()), 0, maxAttempts)
	if s.HasReportAge() {
		c.duration(section, "report_age", s.GetReportAge(), time.Millisecond, maxInterval)
	}
}

// rate checks a required rate, which may be 0.
func (c *checker) rate(section, key string, value, high float64) {
	if value == 0 && !c.present(section, key) {
		c.missing(section, key, fmt.Sprintf("expected a number from 0 to %v", high))
		return
	}
	c.number(section, key, value, 0, high)
}

// checkRules also reports rules that an earlier rule covers: a rule for calls that may not repeat would have no effect
// behind one that lets them repeat.
func checkRules(c *checker, document *schema.Document) {
	earlier := make(map[ruleKey]int)
	for i, r := range document.GetRules() {
		section := fmt.Sprintf("rules[%d]", i+1)
		checkRule(c, section, r, document.GetServices())
		if n := covering(earlier, r); n > 0 {
			c.report(section, "path", "has no effect: rules[%d] matches each request that this rule matches", n)
			continue
		}
		earlier[ruleKey{r.GetHost(), r.GetMethod(), r.GetPath()}] = i + 1
	}
}

// ruleKey is what a rule matches.
type ruleKey struct{ host, method, path string }

// covering returns the number of an earlier rule that matches all that r matches, or 0.
func covering(earlier map[ruleKey]int, r *schema.Rule) int {
	path := r.GetPath()
	for end := range min(len(path), maxPath) + 1 {
		for _, key := range []ruleKey{
			{"", "", path[:end]}, {"", r.GetMethod(), path[:end]},
			{r.GetHost(), "", path[:end]}, {r.GetHost(), r.GetMethod(), path[:end]},
		} {
			if n := earlier[key]; n > 0 {
				return n
			}
		}
	}
	return 0
}

func checkRule(c *checker, section string, r *schema.Rule, services map[string]*schema.Service) {
	if strings.IndexFunc(r.GetMethod(), func(x rune) bool { return x < 'A' || x > 'Z' }) >= 0 {
		c.report(section, "method", "is %s; expected capital letters such as GET", quote([]byte(r.GetMethod())))
	}
	switch {
	case r.GetPath() == "":
		c.missing(section, "path", `expected a path prefix such as "/"`)
	case r.GetPath()[0] != '/' || len(r.GetPath()) > maxPath:
		c.report(section, "path", "is %s; expected '/' and at most %d bytes", quote([]byte(r.GetPath())), maxPath)
	}
	if host := r.GetHost(); len(host) > maxHost || host != strings.ToLower(host) || strings.ContainsAny(host, ":/ ") {
		c.report(section, "host", "is %s; expected a host name in lower case without a port", quote([]byte(host)))
	}
	if r.HasTimeout() {
		c.duration(section, "timeout", r.GetTimeout(), time.Millisecond, maxTimeout)
	}
	if r.HasTargetLatency() {
		c.duration(section, "target_latency", r.GetTargetLatency(), time.Millisecond, maxTimeout)
	}
	c.number(section, "max_attempts", float64(r.GetMaxAttempts()), 0, maxAttempts)
	if r.GetRepeatable() && r.GetOnce() != schema.Once_ONCE_UNSPECIFIED {
		c.report(section, "once", "has no effect on calls that are repeatable")
	}
	checkTargets(c, section, r, services)
}

// checkTargets checks the services that a rule leads to.
func checkTargets(c *checker, section string, r *schema.Rule, services map[string]*schema.Service) {
	name := r.GetService()
	switch {
	case name != "" && len(r.GetSplit()) > 0:
		c.report(section, "split", "stands beside service; expected one of them")
	case name != "":
		c.known(section, "service", name, services)
	case len(r.GetSplit()) == 0:
		c.missing(section, "service", "expected the name of a service")
	}
	if c.rejected[join(section, "split")] || c.partial {
		return
	}
	total := 0.0
	for _, share := range r.GetSplit() {
		total += share.GetWeight()
		c.known(section, "split", share.GetService(), services)
		if share.GetWeight() < 0 || share.GetWeight() > maxWeight {
			c.report(section, "split", "has the weight %v; expected 0 to %d", share.GetWeight(), maxWeight)
		}
	}
	if len(r.GetSplit()) > 0 && total <= 0 {
		c.report(section, "split", "has no weight above 0")
	}
}

// known reports a name of a service that the document does not have.
func (c *checker) known(section, key, name string, services map[string]*schema.Service) {
	if services[name] == nil {
		c.report(section, key, "names the unknown service %q%s", name, suggest(name, sortedNames(services)))
	}
}

func checkSettings(c *checker, s *schema.Settings) {
	for _, f := range []struct{ key, value string }{
		{"instance", s.GetInstance()}, {"service", s.GetService()}, {"domain", s.GetDomain()},
	} {
		c.settingsName(f.key, f.value)
	}
	taken := make(map[string]string)
	c.address("http_address", s.GetHttpAddress(), 0, taken)
	c.address("rpc_address", s.GetRpcAddress(), 0, taken)
	c.address("status_address", s.GetStatusAddress(), 0, taken)
	c.address("backend_address", s.GetBackendAddress(), 1, taken)
	if s.GetReadyAddress() != "" {
		c.address("ready_address", s.GetReadyAddress(), 0, taken)
	}
	switch s.GetAdapter() {
	case AdapterOwn, AdapterStore:
	default:
		c.report("", "adapter", "is %s; expected %q or %q", quote([]byte(s.GetAdapter())), AdapterOwn, AdapterStore)
	}
	if s.HasReportInterval() {
		c.duration("", "report_interval", s.GetReportInterval(), 0, maxInterval)
	}
	c.number("", "remote_cost", s.GetRemoteCost(), 0, maxRemoteCost)
	if s.HasServiceDefaults() {
		checkDefaults(c, "service_defaults", s.GetServiceDefaults())
	}
	for _, name := range sortedNames(s.GetDomains()) {
		if s.GetDomains()[name].GetRegion() == "" {
			c.missing("domains."+name, "region", "expected the name of a region")
		}
	}
	if s.HasListGrace() {
		c.duration("", "list_grace", s.GetListGrace(), 0, maxInterval)
	}
	if s.GetAdvertiseAddress() != "" {
		c.address("advertise_address", s.GetAdvertiseAddress(), 1, make(map[string]string))
	}
	seeds := make(map[string]string)
	for _, seed := range s.GetSeeds() {
		c.address("seeds", seed, 1, seeds)
	}
	checkPlatform(c, s)
	switch s.GetLogLevel() {
	case "debug", "info", "warn", "error":
	default:
		c.report("", "log_level", "is %s; expected one of debug, info, warn, error", quote([]byte(s.GetLogLevel())))
	}
	c.duration("", "drain_timeout", s.GetDrainTimeout(), 0, maxTimeout)
}

func (c *checker) settingsName(key, value string) {
	switch {
	case value == "" && !c.present("", key):
		c.missing("", key, "expected a name")
	case !validName(value):
		c.report("", key, "is %s; expected 1 to %d of a-z, A-Z, 0-9, '-' and '_'", quote([]byte(value)), maxName)
	}
}

// address checks an IP:port with a port of at least lowest. Port 0 lets the system choose; others are used once.
func (c *checker) address(key, value string, lowest uint16, taken map[string]string) {
	if value == "" && !c.present("", key) {
		c.missing("", key, "expected IP:port")
		return
	}
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() < lowest {
		c.report("", key, "is %s; expected IP:port", quote([]byte(value)))
		return
	}
	if other, ok := taken[address.String()]; ok && address.Port() != 0 {
		c.report("", key, "has the address %s, which %s has too", address, other)
	}
	taken[address.String()] = key
}

func checkPlatform(c *checker, s *schema.Settings) {
	if s.GetPlatformUrl() == "" {
		if len(s.GetSeeds()) == 0 {
			c.missing("", "platform_url", "expected a URL such as http://127.0.0.1:7000, or seeds")
		}
		return
	}
	u, err := url.Parse(s.GetPlatformUrl())
	if err != nil || u.Scheme != "http" || u.Host == "" || u.RawQuery != "" || u.Fragment != "" {
		c.report("", "platform_url", "is %s; expected a URL such as http://127.0.0.1:7000", quote([]byte(s.GetPlatformUrl())))
	}
}
