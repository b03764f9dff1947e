// Package packer checks whether a set of accelerator shapes fits racks of workers at the same time.
package packer
