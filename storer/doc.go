// Package storer reaches the platform's transactional table service and object store.
package storer
