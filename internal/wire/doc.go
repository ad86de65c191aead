// Package wire implements the protocol between routers: protobuf envelopes in
// length-prefixed frames over TCP.
//
// clovertiller.pb.go is generated from clovertiller.proto and committed. To
// regenerate it, run protoc with protoc-gen-go and
// --go_opt=module=github.com/clovertiller/clovertiller.
package wire
