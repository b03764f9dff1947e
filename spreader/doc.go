// Package spreader brings each accepted version of the service's document into force on every entry, and never an earlier one after it.
package spreader
