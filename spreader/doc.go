// Package spreader distributes the versions of the service's configuration document to every entry.
//
// The version that an entry uses never decreases.
package spreader
