// Package wire is the protocol between routers: protobuf envelopes in
// length-prefixed frames over TCP.
//
// clovertiller.pb.go is generated from clovertiller.proto and committed; to
// make it anew run protoc with protoc-gen-go and
// --go_opt=module=github.com/clovertiller/clovertiller.
package wire
