// Package faker provides in-memory fakes of the platform and the workers, with fault injection for tests and demonstrations.
package faker
