// Package recorder defines the rows that outlive every process: jobs, answers, leases and documents.
package recorder
