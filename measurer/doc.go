// Package measurer plays seeded workloads against scheduling policies in virtual time and reports how well they do.
package measurer
