// Package documenter decodes, validates and describes the document that configures a service.
package documenter
