package main

// The generated code is committed; `make generate` needs protoc and the two plug-ins that the Makefile installs.
//go:generate protoc --go_out=. --go_opt=module=hemlockhollow --go-drpc_out=. --go-drpc_opt=module=hemlockhollow hemlockpeer/hemlockwire/node.proto
