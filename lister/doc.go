// Package lister fetches the platform's list of VMs, which may be outdated.
package lister
