// Package storer is the client of the platform's transactional table service and object store.
package storer
