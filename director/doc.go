// Package director runs the owner of the service: it takes the lease, leads the workers by what the arranger decides, and records what came of it.
package director
