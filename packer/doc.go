// Package packer decides by arithmetic whether a set of accelerator shapes packs onto racks of workers.
package packer
