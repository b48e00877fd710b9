package io_test

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
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
	histogram := hdrhistogram.New(1, int64(10*time.Second), 3)
	var mutex sync.Mutex
	var next atomic.Int64
	before := processorTime()
	b.ResetTimer()
	var group conc.WaitGroup
	for range concurrency {
		group.Go(func() {
			mine := hdrhistogram.New(1, int64(10*time.Second), 3)
			for next.Add(1) <= int64(b.N) {
				if pause > 0 {
					time.Sleep(time.Duration(rand.ExpFloat64() * float64(pause)))
				}
				start := time.Now()
				if !call() {
					b.Error("call failed")
				}
				_ = mine.RecordValue(int64(time.Since(start)))
			}
			mutex.Lock()
			defer mutex.Unlock()
			histogram.Merge(mine)
		})
	}
	group.Wait()
	b.StopTimer()
	b.ReportMetric(float64(histogram.ValueAtQuantile(50))/1e3, "p50-us")
	b.ReportMetric(float64(histogram.ValueAtQuantile(99))/1e3, "p99-us")
	b.ReportMetric(float64(processorTime()-before)/1e3/float64(b.N), "cpu-us/op")
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
	front := newFront(b, handler(func(call *core.Call) *schema.ExecuteReply {
		return schema.ExecuteReply_builder{Status: schema.Status_STATUS_ANSWERED, Code: 200, Headers: call.Headers, Body: call.Body}.Build()
	}))
	measure(b, callTo(newBackend(b, front.Addr())))
}

// BenchmarkChain measures front, RPC and backend in a row; the last front stands for the backend server.
func BenchmarkChain(b *testing.B) {
	target := newFront(b, handler(func(call *core.Call) *schema.ExecuteReply {
		return schema.ExecuteReply_builder{Status: schema.Status_STATUS_ANSWERED, Code: 200, Body: call.Body}.Build()
	}))
	backend := newBackend(b, target.Addr())
	server := newServer(b, func(ctx context.Context, r *schema.ExecuteRequest) *schema.ExecuteReply {
		result := backend.Send(ctx, &core.Request{
			Method: r.GetMethod(), URI: r.GetUri(), Headers: r.GetHeaders(), Body: r.GetBody(), Deadline: time.Now().Add(time.Second),
		})
		return schema.ExecuteReply_builder{
			Status: schema.Status_STATUS_ANSWERED, Code: uint32(result.Code), Headers: result.Headers, Body: result.Body,
		}.Build()
	})
	to := instanceAt(server.Addr())
	transport := newTransport(b)
	front := newFront(b, handler(func(call *core.Call) *schema.ExecuteReply {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		reply, err := transport.Execute(ctx, to, schema.ExecuteRequest_builder{
			Method: call.Method, Uri: call.URI, Headers: call.Headers, Body: call.Body,
		}.Build())
		if err != nil {
			return core.Unknown(schema.Reason_REASON_NODE_LOST)
		}
		return reply
	}))
	measure(b, callTo(newBackend(b, front.Addr())))
}

func typicalRequest() *schema.ExecuteRequest {
	request := withBody(strings.Repeat("x", 1024))
	request.SetHeaders([]*schema.Header{
		header("Host", "sheets"), header("Content-Type", "application/json"), header("Accept", "*/*"), header("X-Trace", "0123456789abcdef"),
	})
	return request
}

func callTo(client core.Backend) func() bool {
	r := typicalRequest()
	request := &core.Request{Method: "POST", URI: "/sheets", Headers: r.GetHeaders(), Body: r.GetBody()}
	return func() bool {
		result := client.Send(context.Background(), request)
		return result.Code == 200 && len(result.Body) == 1024
	}
}
