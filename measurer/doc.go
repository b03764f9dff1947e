// Package measurer simulates seeded workloads under scheduling policies in virtual time and reports metrics such as slowdown, waiting time and fragmentation.
package measurer
