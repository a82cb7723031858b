// Package tools has no code: its module declares the tools that CI runs.
//
// # Usage
//
//	go tool staticcheck $(go list work)
package tools
