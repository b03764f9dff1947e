// Package documenter decodes, checks and describes the one document that an operator writes for a service.
package documenter
