// Package hoster assembles and runs the process of an entry VM on the operated platform.
package hoster
