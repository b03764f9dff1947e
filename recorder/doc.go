// Package recorder defines the persistent rows of a service: jobs, answers, leases and documents.
package recorder
