// Package router forwards requests from any entry to the entry that owns the service, and handles requests while there is no owner.
package router
