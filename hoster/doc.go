// Package hoster puts the process of an entry VM on the operated platform together and runs it.
package hoster
