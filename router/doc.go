// Package router brings requests that reach any entry to the owner of the service, and copes while there is none.
package router
