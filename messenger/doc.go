// Package messenger carries JSON-RPC 2.0 calls between the entries of one service over TCP.
package messenger
