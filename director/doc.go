// Package director elects the owner of the service through a lease in the store, and implements the owner: it sends the arranger's decisions to the workers and records the progress of jobs.
package director
