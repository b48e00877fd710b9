package guard_test

import (
	"context"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenareel/core"
	"verbenareel/guard"
	"verbenareel/poison"
	"verbenareel/schema"
)

// endings are the results of a call whose connection the backend server ended before the response was complete.
func endings() map[string]core.Result {
	return map[string]core.Result{
		"before the response":       {Reason: schema.Reason_REASON_CONNECTION_LOST, ConnectionReset: true},
		"within the response":       {Reason: schema.Reason_REASON_TRUNCATED},
		"after the caller had left": {Reason: schema.Reason_REASON_CANCELLED},
	}
}

// warmReport is a report of a warm backend server.
func warmReport() core.ServerReport {
	return core.ServerReport{HasState: true, Instance: "sheets-1", Incarnation: 1}
}

// crashHarness is a harness with a table of suspects and a request that may crash the backend server.
type crashHarness struct {
	*harness
	table *poison.Table
}

func runCrash(t *testing.T, test func(*crashHarness)) {
	t.Helper()
	table := poison.New(16, time.Minute)
	run(t, []guard.Option{guard.WithSuspects(table)}, func(h *harness) {
		b := &crashHarness{harness: h, table: table}
		b.report(warmReport())
		time.Sleep(2 * time.Second)
		test(b)
	})
}

// report sets the report of the backend server.
func (b *crashHarness) report(report core.ServerReport) {
	b.backend.mu.Lock()
	defer b.backend.mu.Unlock()
	b.backend.report = &report
}

// lose runs a request whose connection ends with the result, and calls ended at that moment.
func (b *crashHarness) lose(result core.Result, ended func()) {
	result.Written, result.ConnectionEnded = true, true
	b.backend.send = func(context.Context, *core.Request, int) *core.Result {
		time.Sleep(5 * service)
		ended()
		return &result
	}
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	if result.Reason == schema.Reason_REASON_CANCELLED {
		time.AfterFunc(service, cancel)
	}
	<-b.start(ctx, lookup())
	time.Sleep(3 * time.Second)
}

func (b *crashHarness) crashes() int {
	return b.table.Crashes(b.clock.Now(), core.SuspectFingerprints("sheets", "", "GET", "/sheets/7", nil)[0])
}

// TestCrashSigns guards against a request that crashes backend servers and is not recognized because the server had begun
// its response, its caller had left, or the server was back before a connection was tried.
func TestCrashSigns(t *testing.T) {
	renamed, restarted, cold := warmReport(), warmReport(), warmReport()
	renamed.Instance = "sheets-2"
	restarted.Incarnation = 2
	cold.Cold = true
	signs := map[string]func(*crashHarness){
		"connection refused":  func(b *crashHarness) { b.backend.setDown(syscall.ECONNREFUSED) },
		"another name":        func(b *crashHarness) { b.report(renamed) },
		"another incarnation": func(b *crashHarness) { b.report(restarted) },
		"cold start":          func(b *crashHarness) { b.report(cold) },
	}
	for ending, result := range endings() {
		for sign, show := range signs {
			t.Run(ending+", "+sign, func(t *testing.T) {
				runCrash(t, func(b *crashHarness) {
					b.lose(result, func() { show(b) })
					b.Check(b.crashes(), qt.Equals, 1)
				})
			})
		}
	}
}

// TestCrashIsRefused guards against a request that crashes backend servers within their response and reaches them again
// after the second crash.
func TestCrashIsRefused(t *testing.T) {
	for ending, result := range endings() {
		t.Run(ending, func(t *testing.T) {
			runCrash(t, func(b *crashHarness) {
				for range poison.RefusalThreshold {
					b.lose(result, func() { b.backend.setDown(syscall.ECONNREFUSED) })
					b.backend.setDown(nil)
					time.Sleep(2 * time.Second)
				}
				b.checkNotRun(b.Execute(b.Context(), lookup()), schema.Reason_REASON_POISONED)
			})
		})
	}
}

// TestCrashFingerprint guards against a request that crashes backend servers and reaches them again because its query differs
// each time or other queries are answered, and against the same request of another caller that is refused as well.
func TestCrashFingerprint(t *testing.T) {
	crashed := endings()["before the response"]
	crashed.Written, crashed.ConnectionEnded = true, true
	request := func(caller, uri string) *schema.ExecuteRequest {
		r := lookup()
		r.SetCaller(caller)
		r.SetUri([]byte(uri))
		return r
	}
	crash := func(b *crashHarness, uri string) {
		b.backend.send = func(context.Context, *core.Request, int) *core.Result {
			b.backend.setDown(syscall.ECONNREFUSED)
			return &crashed
		}
		b.checkUnknown(b.Execute(b.Context(), request("mail", uri)), schema.Reason_REASON_CRASHED)
		b.backend.setDown(nil)
		time.Sleep(2 * time.Second)
		b.backend.send = func(context.Context, *core.Request, int) *core.Result { return answered() }
	}
	t.Run("query differs", func(t *testing.T) {
		runCrash(t, func(b *crashHarness) {
			crash(b, "/sheets/7?n=1")
			crash(b, "/sheets/7?n=2")
			b.checkNotRun(b.Execute(b.Context(), request("mail", "/sheets/7?n=3")), schema.Reason_REASON_POISONED)
			b.checkAnswered(b.Execute(b.Context(), request("files", "/sheets/7?n=3")))
		})
	})
	t.Run("other queries are answered", func(t *testing.T) {
		runCrash(t, func(b *crashHarness) {
			for range poison.RefusalThreshold {
				crash(b, "/sheets/7?n=1")
				b.checkAnswered(b.Execute(b.Context(), request("mail", "/sheets/7?n=2")))
			}
			b.checkNotRun(b.Execute(b.Context(), request("mail", "/sheets/7?n=1")), schema.Reason_REASON_POISONED)
			b.checkAnswered(b.Execute(b.Context(), request("mail", "/sheets/7?n=2")))
		})
	})
}

// TestCrashAssumed guards against a request that crashes more than two backend servers because each of them is back at once
// and has not reported yet, and against a suspect that remains one after the server has reported that it lives.
func TestCrashAssumed(t *testing.T) {
	runCrash(t, func(b *crashHarness) {
		b.report(core.ServerReport{})
		time.Sleep(2 * time.Second)
		for ending, count := range map[string]int{"before the response": 1, "within the response": 0} {
			result := endings()[ending]
			result.Written, result.ConnectionEnded = true, true
			b.backend.send = func(context.Context, *core.Request, int) *core.Result { return &result }
			request := lookup()
			request.SetUri([]byte("/" + ending))
			_ = b.Execute(b.Context(), request)
			crashes := func() int {
				return b.table.Crashes(b.clock.Now(), core.SuspectFingerprints("sheets", "", "GET", string(request.GetUri()), nil)[0])
			}
			b.Check(crashes(), qt.Equals, count)
			request.SetSuspect(true)
			b.checkUnknown(b.Execute(b.Context(), request), schema.Reason_REASON_CRASHED)
			b.Check(crashes(), qt.Equals, count+1)
		}
		b.table.Clear(b.clock.Now(), core.SuspectFingerprints("sheets", "", "GET", "/within the response", nil)[0])
		b.lose(endings()["before the response"], func() {})
		b.Check(b.crashes(), qt.Equals, 1)
		b.report(warmReport())
		time.Sleep(2 * time.Second)
		b.Check(b.crashes(), qt.Equals, 0)
	})
}

// TestLivingServer guards against requests that become suspects although the backend server lives: their answers were lost,
// cut or too slow.
func TestLivingServer(t *testing.T) {
	results := endings()
	results["silent"] = core.Result{Reason: schema.Reason_REASON_DEADLINE}
	for name, result := range results {
		t.Run(name, func(t *testing.T) {
			runCrash(t, func(b *crashHarness) {
				for range 3 {
					b.lose(result, func() {})
					b.Check(b.crashes(), qt.Equals, 0)
				}
			})
		})
	}
	t.Run("all at once, idle connection open", func(t *testing.T) {
		runCrash(t, func(b *crashHarness) {
			b.backend.openIdle = true
			result := endings()["before the response"]
			result.Written, result.ConnectionEnded = true, true
			b.backend.send = func(context.Context, *core.Request, int) *core.Result {
				time.Sleep(service)
				return &result
			}
			first, second := b.start(b.Context(), lookup()), b.start(b.Context(), lookup())
			b.checkUnknown(<-first, schema.Reason_REASON_CONNECTION_LOST)
			b.checkUnknown(<-second, schema.Reason_REASON_CONNECTION_LOST)
			b.Check(b.crashes(), qt.Equals, 0)
		})
	})
}

// TestSuspicionLapses guards against a request that is blamed for a crash long after its connection ended.
func TestSuspicionLapses(t *testing.T) {
	runCrash(t, func(b *crashHarness) {
		b.report(core.ServerReport{})
		b.lose(endings()["within the response"], func() {})
		time.Sleep(3 * time.Second)
		b.backend.setDown(syscall.ECONNREFUSED)
		b.backend.send = func(context.Context, *core.Request, int) *core.Result {
			return &core.Result{Reason: schema.Reason_REASON_CONNECT}
		}
		_ = b.Execute(b.Context(), lookup())
		time.Sleep(time.Second)
		b.Check(b.crashes(), qt.Equals, 0)
	})
}
