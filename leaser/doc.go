// Package leaser acquires, renews and monitors the lease that makes one entry the owner of a service.
package leaser
