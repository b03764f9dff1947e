// Package registrar defines the schema of the rows that entry VMs and the owner persist in the platform's store: tables, partitions, keys and values.
package registrar
