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

// pause is the mean time between two calls of one worker in the paced benchmarks: about 2,000 calls/s.
const pause = 8 * time.Millisecond

// measure runs a benchmark with one and with 16 calls in flight, and with 16 workers that pause between calls.
func measure(b *testing.B, call func() bool) {
	b.Run("1", func(b *testing.B) { measureWith(b, 1, 0, call) })
	b.Run("16", func(b *testing.B) { measureWith(b, 16, 0, call) })
	b.Run("paced", func(b *testing.B) { measureWith(b, 16, pause, call) })
}

// measureWith runs b.N calls and reports the 50th and 99th percentile in microseconds and the CPU time per call, which
// includes both sides.
func measureWith(b *testing.B, concurrency int, pause time.Duration, call func() bool) {
	b.ReportAllocs()
	taken := make([]time.Duration, b.N)
	var next atomic.Int64
	before := processorTime()
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
				taken[i] = time.Since(start)
			}
		})
	}
	group.Wait()
	b.StopTimer()
	cpu := processorTime() - before
	slices.Sort(taken)
	b.ReportMetric(float64(taken[b.N*50/100])/1e3, "p50-us")
	b.ReportMetric(float64(taken[b.N*99/100])/1e3, "p99-us")
	b.ReportMetric(float64(cpu)/1e3/float64(b.N), "cpu-us/op")
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func BenchmarkRPC(b *testing.B) {
	transport := newTransport(b)
	to := instanceAt(newServer(b, echo).Addr())
	request := typicalRequest()
	measure(b, func() bool {
		reply, err := transport.Execute(context.Background(), to, request)
		return err == nil && len(reply.GetBody()) == 1024
	})
}

func BenchmarkFront(b *testing.B) {
	client := newBackend(b, newFront(b, echoCall).Addr())
	request := &core.Request{Method: "POST", URI: "/sheets", Headers: typicalRequest().GetHeaders(), Body: typicalRequest().GetBody()}
	measure(b, func() bool {
		result := client.Send(context.Background(), request)
		return result.Code == 200 && len(result.Body) == 1024
	})
}

func typicalRequest() *schema.ExecuteRequest {
	request := withBody(strings.Repeat("x", 1024))
	request.SetHeaders([]*schema.Header{
		header("Host", "sheets"), header("Content-Type", "application/json"), header("Accept", "*/*"), header("X-Trace", "0123456789abcdef"),
	})
	return request
}

// BenchmarkConnectionMemory measures the heap and stacks of one idle connection between two nodes, both ends together.
func BenchmarkConnectionMemory(b *testing.B) {
	const connections = 200
	server := newServer(b, echo)
	for b.Loop() {
		before := memoryInUse()
		for range connections {
			transport := newTransport(b)
			_, err := transport.Execute(b.Context(), instanceAt(server.Addr()), withBody("x"))
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
