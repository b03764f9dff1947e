// Package caller is a client of the HTTP interface of an entry.
package caller
