// Package acceptor takes the calls of clients: it records jobs and wishes to cancel them, and answers questions after them.
//
// It needs no owner; what it has recorded reaches the owner through the store.
package acceptor
