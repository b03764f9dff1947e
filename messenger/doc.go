// Package messenger implements JSON-RPC 2.0 over TCP between the entries of one service.
package messenger
