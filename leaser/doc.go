// Package leaser claims, renews and watches the lease that makes one entry the owner of a service.
package leaser
