// Package schema contains the protobuf messages: those between nodes, the operators' configuration document, and the
// settings of a node. The code is generated from the .proto files in this directory with the opaque API, that is, with
// unexported fields and accessor methods.
//
// Regenerate it with protoc 3.21 and protoc-gen-go v1.36.12.
package schema

//go:generate protoc -I .. --go_out=.. --go_opt=module=verbenareel --go_opt=default_api_level=API_OPAQUE schema/call.proto schema/peer.proto schema/config.proto
