package io

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/encoding/protodelim"

	"verbenareel/core"
	"verbenareel/schema"
)

// FuzzFrameReader checks that no input makes the reader panic, exceed its size limit or loop without consuming input.
func FuzzFrameReader(f *testing.F) {
	var good bytes.Buffer
	_, _ = protodelim.MarshalTo(&good, schema.RpcRequest_builder{Method: "Guard.Execute", Sequence: 3}.Build())
	f.Add(good.Bytes())
	f.Add([]byte("\xff\xff\xff\xff\xff\xff\xff\xff\xff\x7f"))
	f.Add([]byte("\x05hello"))
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := newFrameReader(bytes.NewReader(data), 1024)
		for frames := 0; ; frames++ {
			var header schema.RpcRequest
			read := func() error { return reader.read(&header) }
			if frames%2 == 1 {
				read = reader.skip
			}
			if read() != nil {
				break
			}
			qt.Assert(t, len(header.GetMethod()) <= 1024, qt.IsTrue)
			qt.Assert(t, frames <= len(data), qt.IsTrue)
		}
	})
}

// FuzzParseLoad checks that no input makes the parser panic or return values that are not in the input.
func FuzzParseLoad(f *testing.F) {
	for _, seed := range []string{"in-flight=3; limit=18; state=warm; incarnation=7", "limit=-1", "state=hot", ";;", "x=1", "limit"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, value string) {
		report, ok := core.ParseLoad(value)
		qt.Assert(t, report != nil, qt.Equals, ok)
		if ok {
			qt.Assert(t, report.InFlight >= 0 && report.Limit >= 0, qt.IsTrue)
			qt.Assert(t, report.Cold && !strings.Contains(value, "cold"), qt.IsFalse)
			qt.Assert(t, report.Cold && report.Draining, qt.IsFalse)
		}
	})
}
