package io_test

import (
	"context"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"verbenareel/core"
	"verbenareel/schema"
)

// meanCallInterval is the mean pause of a worker between calls in the paced benchmarks. With 16 workers the rate is about
// 2,000 calls/s.
const meanCallInterval = 8 * time.Millisecond

// benchmarkCalls runs a benchmark with 1 and with 16 calls in flight, and with 16 workers that pause between calls.
func benchmarkCalls(b *testing.B, call func() bool) {
	b.Run("1", func(b *testing.B) { benchmarkConcurrency(b, 1, 0, call) })
	b.Run("16", func(b *testing.B) { benchmarkConcurrency(b, 16, 0, call) })
	b.Run("paced", func(b *testing.B) { benchmarkConcurrency(b, 16, meanCallInterval, call) })
}

// benchmarkConcurrency runs b.N calls and reports the 50th and 99th percentile of the latency and the CPU time per call,
// in microseconds. The CPU time includes client and server.
func benchmarkConcurrency(b *testing.B, concurrency int, pause time.Duration, call func() bool) {
	b.ReportAllocs()
	latencies := make([]time.Duration, b.N)
	var next atomic.Int64
	before := cpuTime()
	b.ResetTimer()
	var group conc.WaitGroup
	for range concurrency {
		group.Go(func() {
			for i := next.Add(1) - 1; i < int64(b.N); i = next.Add(1) - 1 {
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(pause)))
				start := time.Now()
				if !call() {
					b.Error("call failed")
				}
				latencies[i] = time.Since(start)
			}
		})
	}
	group.Wait()
	b.StopTimer()
	cpu := cpuTime() - before
	slices.Sort(latencies)
	b.ReportMetric(float64(latencies[b.N*50/100])/1e3, "p50-us")
	b.ReportMetric(float64(latencies[b.N*99/100])/1e3, "p99-us")
	b.ReportMetric(float64(cpu)/1e3/float64(b.N), "cpu-us/op")
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func BenchmarkRPC(b *testing.B) {
	transport := newTransport(b)
	to := newInstance(newServer(b, echo).Addr())
	request := typicalRequest()
	benchmarkCalls(b, func() bool {
		reply, err := transport.Execute(context.Background(), to, request)
		return err == nil && len(reply.GetBody()) == 1024
	})
}

func BenchmarkFront(b *testing.B) {
	client := newBackend(b, newFront(b, echoCall).Addr())
	request := &core.Request{Method: "POST", URI: "/sheets", Headers: typicalRequest().GetHeaders(), Body: typicalRequest().GetBody()}
	benchmarkCalls(b, func() bool {
		result := client.Send(context.Background(), request)
		return result.Code == 200 && len(result.Body) == 1024
	})
}

func typicalRequest() *schema.ExecuteRequest {
	request := newExecuteRequest(strings.Repeat("x", 1024))
	request.SetHeaders([]*schema.Header{
		header("Host", "sheets"), header("Content-Type", "application/json"), header("Accept", "*/*"), header("X-Trace", "0123456789abcdef"),
	})
	return request
}

// BenchmarkConnectionMemory measures the heap and stack memory of one idle connection between two nodes, for both ends
// together.
func BenchmarkConnectionMemory(b *testing.B) {
	const connections = 200
	server := newServer(b, echo)
	for b.Loop() {
		before := memoryInUse()
		for range connections {
			transport := newTransport(b)
			_, err := transport.Execute(b.Context(), newInstance(server.Addr()), newExecuteRequest("x"))
			qt.Assert(b, err, qt.IsNil)
		}
		b.ReportMetric(float64(memoryInUse()-before)/connections, "B/connection")
	}
}

func memoryInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
