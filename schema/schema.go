// Package schema holds the messages between nodes, the document of the operators and the settings of a node. The code
// is generated from the .proto files beside it, with unexported fields and accessors.
//
// Regenerate with protoc 3.21 and protoc-gen-go v1.36.12.
package schema

//go:generate protoc -I .. --go_out=.. --go_opt=module=verbenareel --go_opt=default_api_level=API_OPAQUE schema/call.proto schema/peer.proto schema/config.proto
