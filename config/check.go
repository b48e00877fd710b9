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

// Default values of optional keys. The default of queue is the value of slots.
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

// Values of the setting adapter, which selects the platform protocol.
const (
	// AdapterNative selects the protocol of this project.
	AdapterNative = "own"
	// AdapterStore selects a metadata store with range reads and watches.
	AdapterStore = "store"
)

// Values of the setting leave_domain, which selects how calls leave the failure domain of the node that accepts them.
const (
	// LeaveConstant makes leaving cost remote_cost. It is the default.
	LeaveConstant = "constant"
	// LeaveByNeed lets a call leave if it would be late in the domain. It needs load reports, as AdapterStore has them.
	LeaveByNeed = "by_need"
)

// Maximum values. They are chosen to catch mistakes such as a wrong unit, not to rule out unusual deployments.
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
	maxRetention   = 24 * time.Hour
	maxPath        = 1024
	maxHost        = 255
	maxHeader      = 32 << 10
	maxAttempts    = 100
	maxWeight      = 1_000_000
	maxInterval    = time.Minute
	maxRemoteCost  = 100
	maxLink        = 1_000_000
)

// applyDocumentDefaults sets the defaults of optional keys that are not in the text; present reports whether the text
// contains a key.
func applyDocumentDefaults(document *schema.Document, present func(section, key string) bool) {
	for name, s := range document.GetServices() {
		applyServiceDefaults(s, func(key string) bool { return present("services."+name, key) })
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

func applyServiceDefaults(s *schema.Service, present func(key string) bool) {
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

func applySettingsDefaults(settings *schema.Settings) {
	if settings.GetLogLevel() == "" {
		settings.SetLogLevel(DefaultLogLevel)
	}
	if !settings.HasDrainTimeout() {
		settings.SetDrainTimeout(durationpb.New(DefaultDrainTimeout))
	}
	if settings.GetAdapter() == "" {
		settings.SetAdapter(AdapterNative)
	}
}

// checker validates values and reports errors.
type checker struct {
	*source
	// incomplete is set after a syntax error, because of which keys may be missing. Missing keys are not reported then.
	incomplete bool
	// rejected contains the keys for which an error was already reported.
	rejected map[string]bool
}

func (c *checker) present(section, key string) bool {
	_, ok := c.offsets[joinPath(section, key)]
	return ok
}

// report adds an error at the position of a key, or at that of its section if the text does not contain the key.
func (c *checker) report(section, key, format string, args ...any) {
	if c.rejected[section] || c.rejected[joinPath(section, key)] {
		return
	}
	offset, ok := c.offsets[joinPath(section, key)]
	if !ok {
		offset = c.offsets[section]
	}
	c.addFault(offset, section, key, format, args...)
}

// reportMissing reports that a required key or section is missing; expected describes its value.
func (c *checker) reportMissing(section, key, expected string) {
	if !c.incomplete {
		c.report(section, key, "is missing: %s", expected)
	}
}

// checkNumber checks that a required number is present and within a range.
func (c *checker) checkNumber(section, key string, value, low, high float64) {
	switch {
	case value >= low && value <= high:
	case c.present(section, key):
		c.report(section, key, "is %v; expected %v to %v", value, low, high)
	default:
		c.reportMissing(section, key, fmt.Sprintf("expected a number from %v to %v", low, high))
	}
}

// checkDuration checks that a required duration is present and within a range.
func (c *checker) checkDuration(section, key string, value *durationpb.Duration, low, high time.Duration) {
	d := value.AsDuration()
	switch {
	case value != nil && d >= low && d <= high:
	case c.present(section, key):
		c.report(section, key, "is %v; expected %v to %v", d, low, high)
	default:
		c.reportMissing(section, key, fmt.Sprintf("expected a duration from %v to %v", low, high))
	}
}

func sortedKeys[T any](m map[string]T) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func checkDocument(c *checker, document *schema.Document) {
	if document.GetDeployment() == "" {
		c.reportMissing("", "deployment", "expected the name of the deployment")
	}
	checkPlaces(c, document.GetPlaces())
	if len(document.GetServices()) == 0 {
		c.reportMissing("", "services", "expected a section [services.NAME]")
	}
	for _, name := range sortedKeys(document.GetServices()) {
		checkService(c, "services."+name, document.GetServices()[name])
	}
	if len(document.GetRules()) == 0 {
		c.reportMissing("", "rules", "expected a section [[rules]]")
	}
	checkRules(c, document)
	checkLimits(c, document.GetLimits())
	checkCustomers(c, document.GetCustomers())
}

func checkLimits(c *checker, l *schema.Limits) {
	c.checkNumber("limits", "max_header", float64(l.GetMaxHeader()), 0, maxHeader)
	c.checkNumber("limits", "max_body", float64(l.GetMaxBody()), 0, maxBody)
	if l.HasHeaderTimeout() {
		c.checkDuration("limits", "header_timeout", l.GetHeaderTimeout(), time.Millisecond, maxTimeout)
	}
	if l.HasIdleTimeout() {
		c.checkDuration("limits", "idle_timeout", l.GetIdleTimeout(), time.Millisecond, maxTimeout)
	}
}

func checkPlaces(c *checker, places *schema.Places) {
	regions, domains := places.GetRegions(), places.GetDomains()
	if len(regions) == 0 {
		c.reportMissing("places", "regions", "expected a section [places.regions.NAME]")
	}
	for _, name := range sortedKeys(regions) {
		section := "places.regions." + name
		c.checkDuration(section, "delay", regions[name].GetDelay(), 0, maxDelay)
		if len(regions) > 1 || regions[name].HasRemoteDelay() {
			c.checkDuration(section, "remote_delay", regions[name].GetRemoteDelay(), 0, maxDelay)
		}
	}
	if len(domains) == 0 {
		c.reportMissing("places", "domains", "expected a section [places.domains.NAME]")
	}
	for _, name := range sortedKeys(domains) {
		section, region := "places.domains."+name, domains[name].GetRegion()
		if region == "" {
			c.reportMissing(section, "region", "expected the name of a region")
		} else if regions[region] == nil {
			c.report(section, "region", "refers to the unknown region %q%s", region, suggestion(region, sortedKeys(regions)))
		}
	}
}

// suggestion returns the end of an error message that proposes the most similar of the known names.
func suggestion(name string, names []string) string {
	if len(names) == 0 {
		return ""
	}
	return fmt.Sprintf("; did you mean %q?", closestName(name, names))
}

func checkService(c *checker, section string, s *schema.Service) {
	c.checkNumber(section, "slots", float64(s.GetSlots()), 1, maxSlots)
	c.checkNumber(section, "cold_limit", float64(s.GetColdLimit()), 1, maxSlots)
	if s.GetColdLimit() > s.GetSlots() && s.GetSlots() > 0 {
		c.report(section, "cold_limit", "is %d; expected at most the number of slots, %d", s.GetColdLimit(), s.GetSlots())
	}
	c.checkDuration(section, "warm_time", s.GetWarmTime(), 0, maxWarmTime)
	c.checkNumber(section, "queue", float64(s.GetQueue()), 0, maxQueue)
	c.checkDuration(section, "timeout", s.GetTimeout(), time.Millisecond, maxTimeout)
	c.checkNumber(section, "connections", float64(s.GetConnections()), 1, maxConnections)
	c.checkNumber(section, "max_body", float64(s.GetMaxBody()), 0, maxBody)
	c.checkRate(section, "probes_per_second", s.GetProbesPerSecond(), maxRate)
	c.checkDuration(section, "report_age", s.GetReportAge(), time.Millisecond, maxInterval)
	c.checkNumber(section, "probe_burst", float64(s.GetProbeBurst()), 0, maxRate)
	c.checkNumber(section, "cold_burst", s.GetColdBurst(), 0, maxRate)
	c.checkNumber(section, "cold_factor", s.GetColdFactor(), 0, maxColdFactor)
	c.checkNumber(section, "free_resends", float64(s.GetFreeResends()), 0, maxAttempts)
	c.checkNumber(section, "cold_rate", s.GetColdRate(), 0, maxRate)
	if path := s.GetProbePath(); path != "" && path[0] != '/' {
		c.report(section, "probe_path", "is %s; expected a path such as \"/health\"", quote([]byte(path)))
	}
	c.checkNumber(section, "retry_ratio", s.GetRetryRatio(), 0, 1)
	c.checkNumber(section, "retry_floor", s.GetRetryFloor(), 0, maxRate)
	c.checkNumber(section, "hedge_ratio", s.GetHedgeRatio(), 0, 1)
	c.checkDuration(section, "ticket_life", s.GetTicketLife(), time.Second, maxRetention)
	c.checkDuration(section, "outcome_life", s.GetOutcomeLife(), s.GetTicketLife().AsDuration(), maxRetention)
}

// checkServiceDefaults checks the default values for services. A key that is not set has the value 0.
func checkServiceDefaults(c *checker, section string, s *schema.Service) {
	c.checkNumber(section, "queue", float64(s.GetQueue()), 0, maxQueue)
	c.checkNumber(section, "probes_per_second", s.GetProbesPerSecond(), 0, maxRate)
	c.checkNumber(section, "probe_burst", float64(s.GetProbeBurst()), 0, maxRate)
	c.checkNumber(section, "cold_burst", s.GetColdBurst(), 0, maxRate)
	c.checkNumber(section, "cold_factor", s.GetColdFactor(), 0, maxColdFactor)
	c.checkNumber(section, "retry_ratio", s.GetRetryRatio(), 0, 1)
	c.checkNumber(section, "retry_floor", s.GetRetryFloor(), 0, maxRate)
	c.checkNumber(section, "hedge_ratio", s.GetHedgeRatio(), 0, 1)
	c.checkNumber(section, "free_resends", float64(s.GetFreeResends()), 0, maxAttempts)
	if s.HasReportAge() {
		c.checkDuration(section, "report_age", s.GetReportAge(), time.Millisecond, maxInterval)
	}
}

// checkRate checks that a required rate, which may be 0, is present and within its range.
func (c *checker) checkRate(section, key string, value, high float64) {
	if value == 0 && !c.present(section, key) {
		c.reportMissing(section, key, fmt.Sprintf("expected a number from 0 to %v", high))
		return
	}
	c.checkNumber(section, key, value, 0, high)
}

// checkRules checks each rule and reports rules that an earlier rule makes unreachable. Otherwise, for example, a rule for
// calls that may not repeat would silently have no effect after a broader rule that lets them repeat.
func checkRules(c *checker, document *schema.Document) {
	earlier := make(map[ruleKey]int)
	for i, r := range document.GetRules() {
		section := fmt.Sprintf("rules[%d]", i+1)
		checkRule(c, section, r, document.GetServices())
		if n := coveringRule(earlier, r); n > 0 {
			c.report(section, "path", "has no effect: rules[%d] matches every request that this rule matches", n)
			continue
		}
		earlier[ruleKey{r.GetHost(), r.GetMethod(), r.GetPath()}] = i + 1
	}
}

// ruleKey identifies the requests that a rule matches.
type ruleKey struct{ host, method, path string }

// coveringRule returns the 1-based number of an earlier rule that matches every request that r matches, or 0.
func coveringRule(earlier map[ruleKey]int, r *schema.Rule) int {
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
		c.report(section, "method", "is %s; expected upper-case letters such as GET", quote([]byte(r.GetMethod())))
	}
	switch {
	case r.GetPath() == "":
		c.reportMissing(section, "path", `expected a path prefix such as "/"`)
	case r.GetPath()[0] != '/' || len(r.GetPath()) > maxPath:
		c.report(section, "path", "is %s; expected a path that starts with '/' and has at most %d bytes", quote([]byte(r.GetPath())), maxPath)
	}
	if host := r.GetHost(); len(host) > maxHost || host != strings.ToLower(host) || strings.ContainsAny(host, ":/ ") {
		c.report(section, "host", "is %s; expected a host name in lower case without a port", quote([]byte(host)))
	}
	if r.HasTimeout() {
		c.checkDuration(section, "timeout", r.GetTimeout(), time.Millisecond, maxTimeout)
	}
	if r.HasTargetLatency() {
		c.checkDuration(section, "target_latency", r.GetTargetLatency(), time.Millisecond, maxTimeout)
	}
	c.checkNumber(section, "max_attempts", float64(r.GetMaxAttempts()), 0, maxAttempts)
	if r.GetRepeatable() && r.GetOnce() != schema.Once_ONCE_UNSPECIFIED {
		c.report(section, "once", "has no effect on repeatable calls")
	}
	checkRuleServices(c, section, r, services)
}

// checkRuleServices checks the service or the traffic split of a rule.
func checkRuleServices(c *checker, section string, r *schema.Rule, services map[string]*schema.Service) {
	name := r.GetService()
	switch {
	case name != "" && len(r.GetSplit()) > 0:
		c.report(section, "split", "is set together with service; expected only one of them")
	case name != "":
		c.checkServiceName(section, "service", name, services)
	case len(r.GetSplit()) == 0:
		c.reportMissing(section, "service", "expected the name of a service")
	}
	if c.rejected[joinPath(section, "split")] || c.incomplete {
		return
	}
	total := 0.0
	for _, share := range r.GetSplit() {
		total += share.GetWeight()
		c.checkServiceName(section, "split", share.GetService(), services)
		if share.GetWeight() < 0 || share.GetWeight() > maxWeight {
			c.report(section, "split", "has the weight %v; expected 0 to %d", share.GetWeight(), maxWeight)
		}
	}
	if len(r.GetSplit()) > 0 && total <= 0 {
		c.report(section, "split", "has no weight above 0")
	}
}

// checkServiceName checks that the document contains a service with the name.
func (c *checker) checkServiceName(section, key, name string, services map[string]*schema.Service) {
	if services[name] == nil {
		c.report(section, key, "refers to the unknown service %q%s", name, suggestion(name, sortedKeys(services)))
	}
}

func checkSettings(c *checker, s *schema.Settings) {
	for _, f := range []struct{ key, value string }{
		{"instance", s.GetInstance()}, {"service", s.GetService()}, {"domain", s.GetDomain()},
	} {
		c.checkSettingsName(f.key, f.value)
	}
	used := make(map[string]string)
	c.checkAddress("http_address", s.GetHttpAddress(), 0, used)
	c.checkAddress("rpc_address", s.GetRpcAddress(), 0, used)
	c.checkAddress("status_address", s.GetStatusAddress(), 0, used)
	c.checkAddress("backend_address", s.GetBackendAddress(), 1, used)
	if s.GetReadyAddress() != "" {
		c.checkAddress("ready_address", s.GetReadyAddress(), 0, used)
	}
	switch s.GetAdapter() {
	case AdapterNative, AdapterStore:
	default:
		c.report("", "adapter", "is %s; expected %q or %q", quote([]byte(s.GetAdapter())), AdapterNative, AdapterStore)
	}
	if s.HasReportInterval() {
		c.checkDuration("", "report_interval", s.GetReportInterval(), 0, maxInterval)
	}
	c.checkNumber("", "remote_cost", s.GetRemoteCost(), 0, maxRemoteCost)
	c.checkNumber("", "link_mbps", s.GetLinkMbps(), 0, maxLink)
	checkLeaveDomain(c, s)
	if s.HasServiceDefaults() {
		checkServiceDefaults(c, "service_defaults", s.GetServiceDefaults())
	}
	checkRetryBudget(c, s)
	for _, name := range sortedKeys(s.GetDomains()) {
		if s.GetDomains()[name].GetRegion() == "" {
			c.reportMissing("domains."+name, "region", "expected the name of a region")
		}
	}
	if s.HasListGrace() {
		c.checkDuration("", "list_grace", s.GetListGrace(), 0, maxInterval)
	}
	if s.GetAdvertiseAddress() != "" {
		c.checkAddress("advertise_address", s.GetAdvertiseAddress(), 1, make(map[string]string))
	}
	seeds := make(map[string]string)
	for _, seed := range s.GetSeeds() {
		c.checkAddress("seeds", seed, 1, seeds)
	}
	checkPlatformURL(c, s)
	switch s.GetLogLevel() {
	case "debug", "info", "warn", "error":
	default:
		c.report("", "log_level", "is %s; expected one of debug, info, warn, error", quote([]byte(s.GetLogLevel())))
	}
	c.checkDuration("", "drain_timeout", s.GetDrainTimeout(), 0, maxTimeout)
	checkCallers(c, s.GetCallers())
}

func checkLeaveDomain(c *checker, s *schema.Settings) {
	switch s.GetLeaveDomain() {
	case "", LeaveConstant:
	case LeaveByNeed:
		if s.GetAdapter() != AdapterStore {
			c.report("", "leave_domain", "is %q, which needs adapter = %q", LeaveByNeed, AdapterStore)
		}
	default:
		c.report("", "leave_domain", "is %s; expected %q or %q", quote([]byte(s.GetLeaveDomain())), LeaveConstant, LeaveByNeed)
	}
}

func (c *checker) checkSettingsName(key, value string) {
	switch {
	case value == "" && !c.present("", key):
		c.reportMissing("", key, "expected a name")
	case !validName(value):
		c.report("", key, "is %s; expected 1 to %d of a-z, A-Z, 0-9, '-' and '_'", quote([]byte(value)), maxName)
	}
}

// checkAddress checks that value is an IP:port with a port of at least minPort and that no other key uses the same address.
// Port 0 lets the operating system choose a port, so it may be used more than once. used maps the addresses checked so far
// to their keys.
func (c *checker) checkAddress(key, value string, minPort uint16, used map[string]string) {
	if value == "" && !c.present("", key) {
		c.reportMissing("", key, "expected IP:port")
		return
	}
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() < minPort {
		c.report("", key, "is %s; expected IP:port", quote([]byte(value)))
		return
	}
	if other, ok := used[address.String()]; ok && address.Port() != 0 {
		c.report("", key, "is %s, which is already used by %s", address, other)
	}
	used[address.String()] = key
}

func checkPlatformURL(c *checker, s *schema.Settings) {
	if s.GetPlatformUrl() == "" {
		if len(s.GetSeeds()) == 0 {
			c.reportMissing("", "platform_url", "expected a URL such as http://127.0.0.1:7000, or seeds")
		}
		return
	}
	u, err := url.Parse(s.GetPlatformUrl())
	if err != nil || u.Scheme != "http" || u.Host == "" || u.RawQuery != "" || u.Fragment != "" {
		c.report("", "platform_url", "is %s; expected a URL such as http://127.0.0.1:7000", quote([]byte(s.GetPlatformUrl())))
	}
}
